package wire

import (
	"bufio"
	"fmt"
	"io"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

const (
	maxLists      = 16      // list numbers run below this
	readBuffer    = 1 << 20 // bytes; most batches fit
	maxLineLength = 1 << 30 // bytes
)

// Host runs the dispatchers of many instances. They share nothing but the worker lists that the wire
// numbers for the process as a unit. A Host is not safe for concurrent use.
type Host struct {
	dispatchers map[int]*dispatch.Dispatcher // by instance
	lists       [maxLists][]dispatch.WorkerEntry
	messages    []message
	actions     []dispatch.Action
	event       dispatch.Event
	reply       []byte
}

// NewHost returns a host without instances.
func NewHost() *Host {
	return &Host{dispatchers: map[int]*dispatch.Dispatcher{}}
}

// Serve answers batches, one a line, until the input ends. It fails on a line that is not a batch; the error
// has the line's number, from 1 on.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, readBuffer), maxLineLength)
	for n := 1; scanner.Scan(); n++ {
		reply, err := h.HandleBatch(scanner.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if _, err := w.Write(reply); err != nil {
			return fmt.Errorf("write the reply to line %d: %w", n, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read batches: %w", err)
	}
	return nil
}

// HandleBatch answers one batch. The reply is valid until the next call.
func (h *Host) HandleBatch(line []byte) ([]byte, error) {
	now, messages, err := decodeBatch(line, h.messages)
	h.messages = messages
	if err != nil {
		return nil, err
	}
	h.reply = append(h.reply[:0], `{"do":[`...)
	for i := range messages {
		h.handle(dispatch.Micros(now), &messages[i])
	}
	if h.reply[len(h.reply)-1] == ',' {
		h.reply = h.reply[:len(h.reply)-1]
	}
	h.reply = append(h.reply, "]}\n"...)
	return h.reply, nil
}

// handle passes one message to its dispatcher. A panic in that is reported for the instance, which is then
// no longer hosted.
func (h *Host) handle(now dispatch.Micros, m *message) {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply = appendFault(h.reply, m.who, fmt.Sprint(cause))
			delete(h.dispatchers, m.who)
		}
	}()
	switch m.name {
	case "register":
		if m.ref >= 0 && m.ref < maxLists {
			h.lists[m.ref] = m.workers
		}
	case "enlist":
		h.startInstance(now, m)
	case "exit":
		delete(h.dispatchers, m.who)
	case "update":
		h.updateEndpoints(now, m)
	default:
		if m.event(&h.event) {
			h.step(now, m.who)
		}
	}
}

func (h *Host) startInstance(now dispatch.Micros, m *message) {
	parsed, err := settings.Parse(m.params)
	var d *dispatch.Dispatcher
	if err == nil {
		d, err = dispatch.New(parsed.Dispatch, m.seed)
	}
	if err != nil {
		h.reply = appendFault(h.reply, m.who, err.Error())
		return
	}
	h.dispatchers[m.who] = d
	h.event = dispatch.Event{Kind: dispatch.Started}
	h.step(now, m.who)
}

var scopes = map[int]dispatch.UpdateScope{
	0: dispatch.UpdateDelta, 1: dispatch.UpdateCached, 2: dispatch.UpdateFailed, 3: dispatch.UpdateFull,
}

func (h *Host) updateEndpoints(now dispatch.Micros, m *message) {
	scope, known := scopes[m.scope]
	if !known {
		return
	}
	h.event = dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope}
	if scope != dispatch.UpdateFailed && m.ref >= 0 && m.ref < maxLists {
		h.event.Workers = h.lists[m.ref]
	}
	h.step(now, m.who)
}

func (h *Host) step(now dispatch.Micros, who int) {
	d := h.dispatchers[who]
	if d == nil {
		return
	}
	h.actions = d.Step(now, &h.event, h.actions[:0])
	for i := range h.actions {
		h.reply = appendAction(h.reply, who, &h.actions[i])
	}
}
