package placement

import (
	"strings"
	"time"
)

// settledReadInterval is the time between looks for the word of earlier holders.
const settledReadInterval = 2 * time.Second

// settlePredecessors forgets controllers of which nothing can arrive any more. Of
// one whose instance is gone by the platform's list, that is so once the
// longest delivery delay has passed since this controller saw that. One that
// lives has to say so itself, as it may have been paused between deciding to
// send and sending. What this very process sent in earlier epochs it knows.
func (c *Controller) settlePredecessors(now time.Time) []Action {
	current := c.recordListVersion()
	var actions []Action
	ask := now.Sub(c.settledReadAt) >= settledReadInterval
	for _, holder := range c.working.LateHolders() {
		switch {
		case holder == c.cfg.Holder:
			if c.history.settledBefore(now, c.epoch, c.settings.MaxOrderDelay) {
				c.holderSettled(now, HolderSettled{Holder: holder, Epoch: c.epoch - 1})
			}
		case current && c.holderGone(holder):
			c.settleDeadHolder(now, holder)
		case ask:
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
	gone := func(s Sender) bool { return s.Holder == e.Holder && s.Epoch <= e.Epoch }
	if c.working.RemoveSenders(gone) {
		c.dirty, c.predecessorSettledAt = true, now
	}
}

// announceSettled tells later controllers, once, when nothing that this one sent
// can arrive any more.
func (c *Controller) announceSettled(now time.Time) []Action {
	if c.epoch == 0 || c.settledEpoch == c.epoch || !c.history.settledBefore(now, c.epoch+1, c.settings.MaxOrderDelay) {
		return nil
	}
	c.settledEpoch = c.epoch
	return []Action{WriteSettled{Holder: c.cfg.Holder, Epoch: c.epoch}}
}

// holderGone tells whether the platform no longer lists the holder's instance
// in the holder's incarnation.
func (c *Controller) holderGone(holder string) bool {
	name, rest, _ := strings.Cut(holder, "/")
	incarnation, _, _ := strings.Cut(rest, "/")
	listed, present := c.instances[name]
	return !present || listed != incarnation
}
