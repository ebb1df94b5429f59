package endpoints

import (
	"encoding/json"
	"fmt"
	"time"
)

// HeartbeatInterval is the longest time between two lines of a watch. The discovery service writes a
// heartbeat when it has written no other line for this time.
const HeartbeatInterval = 2 * time.Second

// Message is one line of a watch, of one of three kinds. A full list is Complete: an endpoint that the
// message lacks is not listed. A change has the endpoints that differ from an earlier revision with their
// current state, which may be Removed; a change may have no endpoints. The zero Message is a heartbeat: the
// connection of the watch is alive and the table has not changed.
type Message struct {
	Revision  int64      `json:"rev"`     // revision of the table after this message; 0 in a heartbeat
	Complete  bool       `json:"all"`     // the message is a full list
	Endpoints []Endpoint `json:"targets"` // listed endpoints of a full list, or changed endpoints of a change
}

// IsHeartbeat reports whether the message is a heartbeat, without a list or a change.
func (m Message) IsHeartbeat() bool { return m.Revision == 0 }

// JSON encodes a full list or a change as the body of a response that is no watch, without a newline at the
// end.
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

// Line encodes the message as a line of a watch: JSON and a newline, or an empty line for a heartbeat.
func (m Message) Line() []byte {
	if m.IsHeartbeat() {
		return []byte{'\n'}
	}
	return append(m.JSON(), '\n')
}

// Chunk encodes the message's line as one chunk of a response with chunked transfer encoding.
func (m Message) Chunk() []byte {
	line := m.Line()
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line)
}
