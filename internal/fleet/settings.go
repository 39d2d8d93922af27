package fleet

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/settings"
)

// developmentSecret is the shared secret of all processes of a fleet. It need not
// be secret, as a fleet uses loopback addresses only.
const developmentSecret = "fleet-on-loopback"

func (f *Fleet) domain(i int) string { return f.domains[i%len(f.domains)] }

func (f *Fleet) entrySettings(i int) settings.Entry {
	name := entryName(i)
	s := settings.Entry{
		Name:          name,
		FailureDomain: f.domain(i),
		Region:        f.options.Region,
		CallerAddress: f.plan.callers[i],
		LinkAddress:   f.plan.links[i],
		Advertise:     f.linkAddress(i),
		Store:         settings.Store{URL: f.storeURL("store/" + name)},
		TLS:           settings.TLS{DevelopmentSecret: developmentSecret},
		Policy:        f.options.Policy,
		Peers:         []string{}, // must not be nil: a settings file with null is invalid
	}
	for j := range f.options.Entries {
		if j != i {
			s.Peers = append(s.Peers, f.linkAddress(j))
		}
	}
	if f.options.EditEntry != nil {
		f.options.EditEntry(i, &s)
	}
	settings.SetDefaults(&s)
	return s
}

func (f *Fleet) agentSettings(i int) settings.Agent {
	name := agentName(i)
	labels := label.Set{}
	if f.options.TargetLabels != nil {
		labels = f.options.TargetLabels(i)
	}
	s := settings.Agent{
		Name:          name,
		FailureDomain: f.domain(i),
		Region:        f.options.Region,
		AdminAddress:  f.plan.admins[i],
		Store:         settings.Store{URL: f.storeURL("store/agents")},
		TLS:           settings.TLS{DevelopmentSecret: developmentSecret},
		Policy:        f.options.Policy,
		Target: settings.Target{
			Name:        targetName(i),
			Service:     f.options.Service,
			URL:         "http://" + f.relayAddress("target/"+name, f.plan.targets[i]),
			Labels:      labels,
			Slots:       f.options.Slots,
			Connections: f.options.Connections,
		},
	}
	for j := range f.options.Entries {
		s.Entries = append(s.Entries, f.linkAddress(j))
	}
	if f.options.EditAgent != nil {
		f.options.EditAgent(i, &s)
	}
	settings.SetDefaults(&s)
	return s
}

// linkAddress returns the address at which other processes dial an entry.
func (f *Fleet) linkAddress(i int) string {
	return f.relayAddress("link/"+entryName(i), f.plan.links[i])
}

func (f *Fleet) storeURL(relay string) string {
	if f.plan.store == "" {
		return ""
	}
	return "http://" + f.relayAddress(relay, f.plan.store)
}

// relayAddress returns the address of a relay, or the direct address without one.
func (f *Fleet) relayAddress(relay, direct string) string {
	if r, ok := f.relays[relay]; ok {
		return r.Address()
	}
	return direct
}

func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.directory, name+".json")
}

func (f *Fleet) writeSettings(name string, s any) error {
	data, err := withoutZeros(s)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(f.settingsPath(name), data, 0o600))
}

// withoutZeros encodes settings as JSON without zero values, because defaults are
// applied to absent fields only. A fleet therefore cannot set a field to zero if its
// default is another value.
func withoutZeros(s any) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, err
	}
	prune(tree)
	return json.MarshalIndent(tree, "", "\t")
}

// prune removes members with zero values from an object, and nested objects that
// become empty.
func prune(object map[string]any) {
	for name, value := range object {
		if inner, ok := value.(map[string]any); ok {
			prune(inner)
		}
		if isZero(value) {
			delete(object, name)
		}
	}
}

func isZero(value any) bool {
	switch v := value.(type) {
	case nil:
		return true
	case bool:
		return !v
	case float64:
		return v == 0
	case string:
		return v == ""
	case []any:
		return len(v) == 0
	case map[string]any:
		return len(v) == 0
	}
	return false
}

// configurationKey is the store key of the configuration document.
const configurationKey = "config"

// writeConfiguration writes the configuration document to the store, which is
// expected to have none.
func (f *Fleet) writeConfiguration(ctx context.Context) error {
	if len(f.options.Configuration) == 0 {
		return nil
	}
	if err := f.WaitReady(ctx, storeName); err != nil {
		return err
	}
	store, err := platform.NewStore("http://"+f.plan.store, platform.StoreOptions{})
	if err != nil {
		return Error.Wrap(err)
	}
	defer store.Close()
	_, err = store.CompareAndSwap(ctx, configurationKey, 0, f.options.Configuration, 0)
	return Error.Wrap(err)
}
