package modelcheck

import "slices"

// generators append the enabled actions of a state. Their order determines the order in which a search visits
// states, so a change makes the statistics of searches and the paths of seeded walks incomparable with
// earlier ones.
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

// enabled appends the actions that are enabled in the present state to out.
func (w *World) enabled(out []Action) []Action {
	if w.exited || w.violation != nil {
		return out
	}
	for _, generate := range generators {
		out = generate(w, out)
	}
	return out
}

// allows reports whether an action is enabled in the present state.
func (w *World) allows(a Action) bool { return slices.Contains(w.enabled(nil), a) }

// handler performs an action, which must be enabled.
type handler func(w *World, a Action)

// handlers holds the handler of each kind of action.
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

// apply performs an action, which must be enabled, and checks the properties that depend on deadlines.
func (w *World) apply(a Action) {
	if w.notes != nil {
		w.note(actionMark+"%s", w.describe(a))
	}
	handlers[a.Kind](w, a)
	w.removeFinishedConnections()
	w.checkDeadlines()
}
