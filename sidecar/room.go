package sidecar

import (
	"time"

	"github.com/catkinline/catkinline/wire"
)

// roomLoop advertises changes of the free room to the entries.
func (s *Sidecar) roomLoop() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.roomChanged:
		}
		s.broadcastRoom()
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(roomInterval):
		}
	}
}

// updateOffers decides which entries see the room that is free now. It runs before any entry
// is told of the room.
func (s *Sidecar) updateOffers() {
	now := time.Now()
	next := s.offers.Update(s.table.Free(), now)
	if next.IsZero() || next.Equal(s.nextOffersUpdate) {
		return
	}
	s.nextOffersUpdate = next
	time.AfterFunc(next.Sub(now), func() { signal(s.roomChanged) })
}

func (s *Sidecar) broadcastRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready() {
		return
	}
	s.updateOffers()
	for _, state := range s.links {
		room := s.roomFor(state)
		if !s.offers.ShouldNotify(ownerOf(state.link), state.advertised.Free, room.Free, s.lastNeed) {
			continue
		}
		state.advertised = room
		s.send(state, &room)
	}
}

// roomFor returns the room to advertise to an entry: none while the room is reserved for an
// entry with more urgent work, or while a run of another entry must be alone.
func (s *Sidecar) roomFor(state *linkState) wire.Room {
	aloneOwner, reserved := s.table.AloneOwner()
	if !s.offers.VisibleTo(ownerOf(state.link)) || reserved && aloneOwner != ownerOf(state.link) {
		return wire.Room{StartsReceived: state.startsReceived}
	}
	return wire.Room{Free: s.table.Free(), StartsReceived: state.startsReceived}
}
