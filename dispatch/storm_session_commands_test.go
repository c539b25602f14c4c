package dispatch

import "time"

// send makes the worker's session send a command.
func (f *restartFaults) send(cmd *stormCommand) {
	f.commands = append(f.commands, &sessionCommand{stormCommand: *cmd, sent: cmd.start != nil && cmd.start.Repeated})
}

// advanceCommands sends the attempts that are due and ends those that have timed out.
func (s *storm) advanceCommands() {
	f := s.restarts
	commands := f.commands
	f.commands = nil
	for _, cmd := range commands {
		switch {
		case cmd.done:
		case cmd.inFlight && s.now >= cmd.timesOutAt:
			s.attemptFailed(cmd)
		case cmd.inFlight || s.now < cmd.sendAt:
		case !s.wants(&cmd.stormCommand):
			cmd.done = true
		case cmd.start != nil:
			s.attemptStart(cmd)
		default:
			s.attemptStop(cmd)
		}
		if !cmd.done {
			f.commands = append(f.commands, cmd)
		}
	}
}

// attemptStart sends an attempt of a start, on a connection that is known to lead to the process that the start is meant for. It gives
// the start up if another process has responded, or if no attempt was sent and the worker does not respond.
func (s *storm) attemptStart(cmd *sessionCommand) {
	f, session := s.restarts, s.restarts.sessions[cmd.worker()]
	silent := session.lease.Silent()
	switch {
	case session.incarnation != 0 && session.incarnation != cmd.start.Incarnation:
		s.giveUpStart(cmd, "the worker's process has been replaced")
		return
	case !cmd.sent && (silent || cmd.attempt >= maxUnsentStarts):
		s.giveUpStart(cmd, "not sent")
		return
	case silent:
		cmd.sendAt = s.now + stormCallRetry
		return
	}
	s.beginAttempt(cmd)
	cmd.leaseUntilMS = session.lease.Renew(s.now, cmd.start.Incarnation)
	if session.pooled == cmd.start.Incarnation {
		s.sendCommand(cmd, session.pooled)
		return
	}
	call := &stormCall{kind: callName, worker: cmd.worker(), epoch: cmd.epoch, command: cmd, request: cmd.stormCommand}
	f.transmit(s.now, call)
}

func (s *storm) beginAttempt(cmd *sessionCommand) {
	cmd.attempt++
	cmd.inFlight, cmd.process, cmd.sentAt, cmd.timesOutAt = true, 0, s.now, s.now+stormCallTimeout
	s.checkCancelled(&cmd.stormCommand)
}

// processNamed sends a start on the connection on which a process has responded, unless that is another one than the start is meant for.
func (s *storm) processNamed(cmd *sessionCommand, process int64) {
	if process == cmd.start.Incarnation {
		s.sendCommand(cmd, process)
		return
	}
	s.restarts.played.refusedStarts++
	session := s.restarts.sessions[cmd.worker()]
	session.pooled = 0
	s.core.SetUnreachable(cmd.worker(), false)
	s.giveUpStart(cmd, "the worker's process has been replaced")
	if session.watch != nil {
		// The open request waits for the former process.
		s.watchFailed(session, true)
	}
}

// sendCommand sends the command on a connection to process; 0 if none has responded on it.
func (s *storm) sendCommand(cmd *sessionCommand, process int64) {
	cmd.process, cmd.sent = process, true
	s.restarts.transmit(s.now, &stormCall{
		kind: callCommand, worker: cmd.worker(), epoch: cmd.epoch, process: process, command: cmd, request: cmd.stormCommand,
	})
}

// attemptStop sends an attempt of a stop. It may reach any process of the worker.
func (s *storm) attemptStop(cmd *sessionCommand) {
	s.beginAttempt(cmd)
	s.sendCommand(cmd, s.restarts.sessions[cmd.worker()].pooled)
}

// attemptFailed records an attempt without response. The idle connections are closed, as they may not reach the worker either.
func (s *storm) attemptFailed(cmd *sessionCommand) {
	cmd.inFlight, cmd.sendAt = false, s.now+stormCallRetry
	if cmd.stop != nil {
		cmd.sendAt = s.now + stormCallRetry*time.Duration(min(cmd.attempt, maxStopRetries))
	}
	s.restarts.sessions[cmd.worker()].pooled = 0
}

// giveUpStart makes the core give up a start without response: at once if it was never sent, otherwise once its worker has confirmed a
// stop of the run.
func (s *storm) giveUpStart(cmd *sessionCommand, reason string) {
	cmd.done, cmd.inFlight = true, false
	if cmd.sent {
		s.core.AbandonStart(cmd.worker(), cmd.ref(), reason)
		return
	}
	s.core.StartRejected(cmd.worker(), cmd.ref(), reason)
}

// executeCommand executes a start or stop that has reached a process, and reports the outcome to the core.
func (s *storm) executeCommand(call *stormCall, p *stormProcess) {
	cmd, session := call.command, s.restarts.sessions[call.worker]
	if call.request.stop != nil && call.sentTo != p.incarnation {
		s.restarts.played.lateStops++
	}
	outcome := s.execute(call.worker, &call.request)
	if call.abandoned || !cmd.awaits(call) || s.loses(call.worker, call.epoch) {
		return
	}
	if outcome == outcomeExpired {
		s.attemptFailed(cmd)
		return
	}
	session.pooled = call.process
	cmd.done, cmd.inFlight = true, false
	s.reportOutcome(call.worker, &cmd.stormCommand, outcome)
}
