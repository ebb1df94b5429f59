package modelcheck

import "slices"

// generators list, in this order, the actions that a world can take. The order decides in which order the
// search sees states: it must stay for figures to be comparable.
var generators = []func(w *World, out []Action) []Action{
	(*World).requestActions,
	(*World).renewActions,
	(*World).connectionActions,
	(*World).jobActions,
	(*World).callbackActions,
	(*World).cancellationActions,
	(*World).workerActions,
	(*World).watchActions,
	(*World).schedulerActions,
	(*World).timeActions,
}

// enabled appends the actions that the world can take now.
func (w *World) enabled(out []Action) []Action {
	if w.exited || w.violation != nil {
		return out
	}
	for _, generate := range generators {
		out = generate(w, out)
	}
	return out
}

// allows reports whether an action can be taken now.
func (w *World) allows(a Action) bool { return slices.Contains(w.enabled(nil), a) }

// handler takes one action. The action must be enabled.
type handler func(w *World, a Action)

// handlers has the handler of each kind of action.
var handlers = [actionKinds]handler{
	Submit:               (*World).submitFirst,
	SubmitDuplicate:      (*World).submitDuplicate,
	RenewRequest:         (*World).renewRequest,
	ClientDisconnects:    (*World).disconnectClient,
	RefuseConnection:     (*World).refuseConnection,
	WriteRequest:         (*World).writeRequest,
	DeliverWritten:       (*World).deliverWritten,
	ArriveAtWorker:       (*World).arriveAtWorker,
	BreakConnection:      (*World).breakConnection,
	DeliverBroken:        (*World).deliverBroken,
	DeliverAnswer:        (*World).deliverAnswer,
	CloseArrives:         (*World).closeArrives,
	StartJob:             (*World).startJob,
	FinishJob:            (*World).finishJob,
	FailJob:              (*World).failJob,
	HandBackJob:          (*World).handBackJob,
	AbortJob:             (*World).abortJob,
	DeliverCallback:      (*World).deliverCallback,
	DuplicateCallback:    (*World).duplicateCallback,
	DropCallback:         (*World).dropCallback,
	CancellationArrives:  (*World).cancellationArrives,
	CancellationAnswered: (*World).cancellationAnswered,
	CancellationBreaks:   (*World).cancellationBreaks,
	ProcessCrashes:       (*World).crashProcess,
	ProcessRestarts:      (*World).restartProcess,
	MachineUnreachable:   (*World).disconnectMachine,
	MachineReachable:     (*World).reconnectMachine,
	AnnounceDraining:     (*World).announceStatus,
	AnnounceRemoved:      (*World).announceStatus,
	AnnounceReady:        (*World).announceStatus,
	CloseWatch:           (*World).closeWatch,
	AnswerWatch:          (*World).answerWatch,
	RestartDiscovery:     (*World).restartDiscovery,
	ReloadConfig:         (*World).reloadConfig,
	Terminate:            (*World).terminate,
	PanicModule:          (*World).panicModule,
	AdvanceTime:          (*World).advanceTime,
	AdvanceJustBefore:    (*World).advanceJustBefore,
	AdvanceJustAfter:     (*World).advanceJustAfter,
	DeliverNotSent:       (*World).deliverNotSent,
}

// apply takes one action. An action that is not enabled must not be passed.
func (w *World) apply(a Action) {
	if w.notes != nil {
		w.note(actionMark+"%s", w.describe(a))
	}
	handlers[a.Kind](w, a)
	w.removeFinishedConnections()
	w.checkDeadlines()
}
