package faultproxy

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"
)

// Change is the body of POST /relays/{name}. Restore is applied first, then
// Faults if present, then SilenceFlows.
type Change struct {
	Restore      bool        `json:"restore"`
	Faults       *FaultsJSON `json:"faults"` // replaces all faults
	SilenceFlows bool        `json:"silence_flows"`
}

// FaultsJSON is the JSON form of Faults, with the delay in milliseconds.
type FaultsJSON struct {
	DelayMS   float64  `json:"delay_ms"`
	Loss      float64  `json:"loss"`
	Duplicate float64  `json:"duplicate,omitempty"`
	Cut       Cut      `json:"cut"`
	Clients   []string `json:"clients,omitempty"`
}

// State describes one relay in the response to GET /relays.
type State struct {
	Address  string     `json:"address"`
	Faults   FaultsJSON `json:"faults"`
	Counters Counters   `json:"counters"`
}

// Faults converts f to the type that Relay.SetFaults takes. It does not validate.
func (f FaultsJSON) Faults() Faults {
	delay := time.Duration(f.DelayMS * float64(time.Millisecond))
	return Faults{Delay: delay, Loss: f.Loss, Duplicate: f.Duplicate, Cut: f.Cut, Clients: f.Clients}
}

func faultsJSON(f Faults) FaultsJSON {
	return FaultsJSON{
		DelayMS:   float64(f.Delay) / float64(time.Millisecond),
		Loss:      f.Loss,
		Duplicate: f.Duplicate,
		Cut:       f.Cut,
		Clients:   f.Clients,
	}
}

// Apply applies a change to a relay. If the faults are invalid, it returns an
// error after the restore and before SilenceFlows.
func Apply(relay Relay, change Change) error {
	if change.Restore {
		relay.Restore()
	}
	if change.Faults != nil {
		if err := relay.SetFaults(change.Faults.Faults()); err != nil {
			return err
		}
	}
	if change.SilenceFlows {
		relay.SilenceFlows()
	}
	return nil
}

// maxChangeBytes limits the size of a request body.
const maxChangeBytes = 4096

// AdminHandler serves GET /relays and POST /relays/{name} for a fixed set of relays.
func AdminHandler(relays map[string]Relay) http.Handler {
	router := bunrouter.New()
	router.GET("/relays", func(w http.ResponseWriter, _ bunrouter.Request) error {
		states := make(map[string]State, len(relays))
		for name, relay := range relays {
			states[name] = stateOf(relay)
		}
		return bunrouter.JSON(w, states)
	})
	router.POST("/relays/:name", func(w http.ResponseWriter, r bunrouter.Request) error {
		relay, ok := relays[r.Param("name")]
		if !ok {
			http.Error(w, "no such relay", http.StatusNotFound)
			return nil
		}
		decoder := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes))
		decoder.DisallowUnknownFields()
		var change Change
		err := decoder.Decode(&change)
		if err == nil {
			err = Apply(relay, change)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		return bunrouter.JSON(w, stateOf(relay))
	})
	return router
}

func stateOf(relay Relay) State {
	return State{Address: relay.Address(), Faults: faultsJSON(relay.Faults()), Counters: relay.Counters()}
}
