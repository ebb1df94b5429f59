package emulator

import "dahliaford/internal/scheduler"

// Sizes of messages in bytes: the HTTP and JSON text with the headers that the scheduler program writes,
// without TCP and IP headers. The sizes are estimates, derived from one sample of each message.
const (
	packetBytes      = 0   // a TCP handshake or reset, which carries no payload
	requestBytes     = 420 // a submitted job: headers and a body of 200 bytes
	answerBytes      = 90  // an HTTP answer: the status line and two headers
	emptyAnswerBytes = 27  // an HTTP answer with status 204, which has no body
	callbackBytes    = 210 // POST /callback with its JSON object, without the job's result
	reportBytes      = 80  // the load report within a callback
	cancelBytes      = 75  // the cancellation of an attempt
	openWatchBytes   = 95  // the request that opens a watch of the worker list
	entryBytes       = 139 // an entry of the worker list; a list of 7,200 workers takes 1,000 KB
	listFrameBytes   = 48  // a line with a full list or a change: chunk framing and JSON around the entries
	heartbeatBytes   = 6   // an empty line, written to a watch as a heartbeat
)

// messageBytes returns the size in bytes of the line of a watch that carries a list. A list with revision 0
// stands for a heartbeat.
func messageBytes(list scheduler.WorkerList) int {
	if list.Revision == 0 {
		return heartbeatBytes
	}
	return listBytes(len(list.Workers))
}

// listBytes returns the size in bytes of a full list or a change with the given number of entries.
func listBytes(entries int) int { return listFrameBytes + entryBytes*entries }
