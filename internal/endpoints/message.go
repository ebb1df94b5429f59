package endpoints

import (
	"encoding/json"
	"fmt"
	"time"
)

// HeartbeatInterval is the longest time between two lines of a watch: a heartbeat is written when
// nothing else has been for that long.
const HeartbeatInterval = 2 * time.Second

// Message is one line of a watch, and of three kinds. A full list is Complete: what it lacks is not
// listed. A change has the endpoints that differ from an earlier revision, with the state that they
// are in now, Removed among them; it has none if nothing differs. The zero Message is a heartbeat,
// which says that the watch stands and nothing has changed.
type Message struct {
	Revision  int64      `json:"rev"` // of the table, with this message applied; 0: a heartbeat
	Complete  bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// IsHeartbeat tells whether the message says only that the watch stands.
func (m Message) IsHeartbeat() bool { return m.Revision == 0 }

// JSON is a full list or a change as the body of a plain answer has it, without an end of line.
func (m Message) JSON() []byte {
	if m.Endpoints == nil {
		m.Endpoints = []Endpoint{} // a list without entries is [], never null
	}
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings, numbers and a boolean can always be marshalled
	}
	return raw
}

// Line is the message as a watch has it: one line of JSON, and an empty line for a heartbeat.
func (m Message) Line() []byte {
	if m.IsHeartbeat() {
		return []byte{'\n'}
	}
	return append(m.JSON(), '\n')
}

// Chunk is the line as one chunk of a response with chunked transfer encoding.
func (m Message) Chunk() []byte {
	line := m.Line()
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line)
}
