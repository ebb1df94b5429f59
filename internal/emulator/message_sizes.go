package emulator

import "dahliaford/internal/scheduler"

// Sizes of messages in bytes, as the wire's HTTP and JSON have them with the headers that the program
// writes, without those of TCP and IP. They are estimates from messages written out once.
const (
	packetBytes      = 0   // a handshake, a reset: nothing above TCP
	requestBytes     = 420 // a job with its headers and 200 bytes of body
	answerBytes      = 90  // a status line with two headers
	emptyAnswerBytes = 27  // 204
	callbackBytes    = 210 // POST /callback with its object, without the result
	reportBytes      = 80  // a load report within a callback
	cancelBytes      = 75
	openWatchBytes   = 95  // the call that opens a watch
	entryBytes       = 139 // of the worker list: 1,000 KB for 7,200
	listFrameBytes   = 48  // a full list or a change without its entries, and the framing of the chunk
	heartbeatBytes   = 6   // an empty line
)

// messageBytes is the size of a line of a watch.
func messageBytes(list scheduler.WorkerList) int {
	if list.Revision == 0 {
		return heartbeatBytes
	}
	return listBytes(len(list.Workers))
}

// listBytes is the size of a full list or a change with so many entries.
func listBytes(entries int) int { return listFrameBytes + entryBytes*entries }
