package wire

import (
	"bufio"
	"fmt"
	"io"

	"dahliaford/internal/dispatch"
	"dahliaford/internal/settings"
)

const (
	maxLists      = 16      // number of worker lists that the process keeps; the lists are numbered from 0
	readBuffer    = 1 << 20 // initial size of the line buffer in bytes; most batches fit
	maxLineLength = 1 << 30 // largest length of a line in bytes
)

// Host runs the dispatchers of many scheduler instances. The instances share only the worker lists, because
// the wire format numbers the lists for the whole process. A Host is not safe for concurrent use.
type Host struct {
	dispatchers map[int]*dispatch.Dispatcher     // dispatchers by the number of their scheduler instance
	lists       [maxLists][]dispatch.WorkerEntry // worker lists by number, as last registered

	// Buffers of the current batch, reused to save allocations.
	messages []message
	actions  []dispatch.Action
	event    dispatch.Event
	reply    []byte
}

// NewHost returns a host without scheduler instances.
func NewHost() *Host {
	return &Host{dispatchers: map[int]*dispatch.Dispatcher{}}
}

// Serve answers batches, one per line, until the input ends. A line that is not a batch ends Serve with an
// error that has the number of the line, from 1.
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

// HandleBatch answers one batch of events with the resulting actions. The reply is valid until the next call.
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

// handle processes one message, and passes an event to the dispatcher of the scheduler instance that the
// message names. If the dispatcher panics, the reply reports the panic for the instance, and the host drops
// the instance.
func (h *Host) handle(now dispatch.Micros, m *message) {
	defer func() {
		if cause := recover(); cause != nil {
			h.reply = appendFault(h.reply, m.instance, fmt.Sprint(cause))
			delete(h.dispatchers, m.instance)
		}
	}()
	switch m.name {
	case "register":
		if m.listNumber >= 0 && m.listNumber < maxLists {
			h.lists[m.listNumber] = m.workers
		}
	case "enlist":
		h.startInstance(now, m)
	case "exit":
		delete(h.dispatchers, m.instance)
	case "update":
		h.updateEndpoints(now, m)
	default:
		if m.event(&h.event) {
			h.step(now, m.instance)
		}
	}
}

// startInstance starts the dispatcher of a scheduler instance. If the settings of the instance are invalid,
// no dispatcher is started, and the reply gets an exception message with the error.
func (h *Host) startInstance(now dispatch.Micros, m *message) {
	parsed, err := settings.Parse(m.params)
	var d *dispatch.Dispatcher
	if err == nil {
		d, err = dispatch.New(parsed.Dispatch, m.seed)
	}
	if err != nil {
		h.reply = appendFault(h.reply, m.instance, err.Error())
		return
	}
	h.dispatchers[m.instance] = d
	h.event = dispatch.Event{Kind: dispatch.Started}
	h.step(now, m.instance)
}

// scopes has, for each number on the wire, the scope of a worker list update: some entries, the cached list,
// a failed update without a list, or the complete list.
var scopes = map[int]dispatch.UpdateScope{
	0: dispatch.UpdateDelta, 1: dispatch.UpdateCached, 2: dispatch.UpdateFailed, 3: dispatch.UpdateFull,
}

// updateEndpoints passes an update of the worker list to a scheduler instance. An update with an unknown
// scope is ignored.
func (h *Host) updateEndpoints(now dispatch.Micros, m *message) {
	scope, known := scopes[m.scope]
	if !known {
		return
	}
	h.event = dispatch.Event{Kind: dispatch.EndpointsUpdated, Scope: scope}
	if scope != dispatch.UpdateFailed && m.listNumber >= 0 && m.listNumber < maxLists {
		h.event.Workers = h.lists[m.listNumber]
	}
	h.step(now, m.instance)
}

// step passes the host's current event to a scheduler instance and appends the instance's actions to the
// reply. An unknown instance is ignored.
func (h *Host) step(now dispatch.Micros, instance int) {
	d := h.dispatchers[instance]
	if d == nil {
		return
	}
	h.actions = d.Step(now, &h.event, h.actions[:0])
	for i := range h.actions {
		h.reply = appendAction(h.reply, instance, &h.actions[i])
	}
}
