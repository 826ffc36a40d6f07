package placement

import (
	"strings"
	"time"
)

// settledReadInterval is the time between reads of the HolderSettled of earlier holders.
const settledReadInterval = 2 * time.Second

// settlePredecessors removes earlier controllers whose orders can no longer arrive. For
// a controller whose instance is gone from the platform's list, that is the case once
// the maximum order delay has passed since this controller noticed. A live one has to
// report it itself, as it may have been paused between the decision to send and the
// send. For earlier epochs of this process, the send history is used.
func (c *Controller) settlePredecessors(now time.Time) []Action {
	listIsCurrent := c.recordListVersion()
	var actions []Action
	readDue := now.Sub(c.settledReadAt) >= settledReadInterval
	for _, holder := range c.working.LateHolders() {
		switch {
		case holder == c.cfg.Holder:
			if c.history.settledBefore(now, c.epoch, c.settings.MaxOrderDelay) {
				c.holderSettled(now, HolderSettled{Holder: holder, Epoch: c.epoch - 1})
			}
		case listIsCurrent && c.holderGone(holder):
			c.settleDeadHolder(now, holder)
		case readDue:
			c.settledReadAt = now
			actions = append(actions, ReadSettled{Holder: holder})
		}
	}
	return actions
}

func (c *Controller) settleDeadHolder(now time.Time, holder string) {
	since, known := c.holderMissingSince[holder]
	if !known {
		c.holderMissingSince[holder] = now
		return
	}
	if now.Sub(since) >= c.settings.MaxOrderDelay {
		c.holderSettled(now, HolderSettled{Holder: holder, Epoch: c.epoch - 1})
	}
}

func (c *Controller) holderSettled(now time.Time, e HolderSettled) {
	if c.working == nil {
		return
	}
	settled := func(s Sender) bool { return s.Holder == e.Holder && s.Epoch <= e.Epoch }
	if c.working.RemoveSenders(settled) {
		c.dirty, c.predecessorSettledAt = true, now
	}
}

// announceSettled reports to later controllers, once per epoch, that nothing sent by
// this controller can still arrive.
func (c *Controller) announceSettled(now time.Time) []Action {
	if c.epoch == 0 || c.settledEpoch == c.epoch || !c.history.settledBefore(now, c.epoch+1, c.settings.MaxOrderDelay) {
		return nil
	}
	c.settledEpoch = c.epoch
	return []Action{WriteSettled{Holder: c.cfg.Holder, Epoch: c.epoch}}
}

// holderGone reports whether the platform no longer lists the holder's instance with the
// holder's incarnation.
func (c *Controller) holderGone(holder string) bool {
	name, rest, _ := strings.Cut(holder, "/")
	incarnation, _, _ := strings.Cut(rest, "/")
	listed, present := c.instances[name]
	return !present || listed != incarnation
}
