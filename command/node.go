package command

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/gateway"
	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/asyncwriter"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/topology"
)

// storeWatchTimeout is the longest duration of one watch call to the platform's
// store. When the store discards its history, a pending watch may miss the changes of
// the last second, which only the next call reveals. A configuration must be in force
// about 4 s after such a loss began.
const storeWatchTimeout = 3 * time.Second

type nodeArgs struct {
	Settings  string `arg:"--settings" help:"settings file of the platform (default: value of CATKINLINE_SETTINGS)"`
	AdminPort int    `arg:"--admin-port" default:"9464" help:"TCP port for /metrics; 0: none"`
	LogLevel  string `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
	Placers   int    `arg:"--placers" help:"number of gateways that place the jobs of all, the same for every process; 0: by the number of gateways"`
}

type gatewayArgs struct {
	nodeArgs
	LinkListen string `arg:"--link-listen" help:"UDP ip:port on which links are accepted, if they come through a relay (default: the address in the settings)"`
}

// Description implements arg.Described.
func (gatewayArgs) Description() string {
	return "Accepts jobs from callers on the platform and places their tasks on targets. SIGTERM begins a planned stop, SIGHUP reads the settings file again."
}

// Epilogue implements arg.Epilogued.
func (gatewayArgs) Epilogue() string {
	return "Example:\n  CATKINLINE_SETTINGS=/etc/catkinline/local.json catkinline gateway"
}

type sidecarArgs struct{ nodeArgs }

// Description implements arg.Described.
func (sidecarArgs) Description() string {
	return "Runs next to one target of the platform and starts all of its runs. SIGTERM begins a planned stop, SIGHUP reads the settings file again."
}

// Epilogue implements arg.Epilogued.
func (sidecarArgs) Epilogue() string {
	return "Example:\n  CATKINLINE_SETTINGS=/etc/catkinline/local.json catkinline sidecar"
}

func runGateway(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	reloads := notifyReloads()
	var a gatewayArgs
	if exit, ok := parseArgs("gateway", &a, args, stdout, stderr); !ok {
		return exit
	}
	return a.run(ctx, "entry", reloads, stderr, func(n nodeProcess) (process, error) {
		return gateway.New(gateway.Options{
			Node: n.node, Log: n.log, Metrics: n.metrics, Store: n.store,
			RoutesKey: platform.RoutesKey, DecodeRoutes: platform.DecodeRoutes,
			EvacuationPrefix: platform.EvacuationPrefix, OperatorPrefix: platform.OperatorPrefix,
			CallerHandler: func(g *gateway.Gateway) http.Handler { return platform.JobHandler(g) },
			AdminPort:     a.AdminPort, LinkListen: a.LinkListen, Topology: topology.Rules{PlacerCount: a.Placers},
		})
	})
}

func runSidecar(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	reloads := notifyReloads()
	var a sidecarArgs
	if exit, ok := parseArgs("sidecar", &a, args, stdout, stderr); !ok {
		return exit
	}
	return a.run(ctx, "agent", reloads, stderr, func(n nodeProcess) (process, error) {
		return sidecar.NewProcess(sidecar.ProcessOptions{
			Node: n.node, Log: n.log, Metrics: n.metrics, Store: n.store,
			Target:        platform.NewTargetClient(n.node.TargetAddress),
			ReportHandler: func(s *sidecar.Sidecar) http.Handler { return platform.ReportHandler(s, n.log) },
			LinkSecret:    gateway.LinkSecret, Timing: gateway.LinkTiming, AdminPort: a.AdminPort, Topology: topology.Rules{PlacerCount: a.Placers},
		})
	})
}

// nodeProcess holds what the roles on the platform need to be built.
type nodeProcess struct {
	node    settings.Node
	log     *zap.Logger
	metrics *metrics.Registry
	store   *platform.Store
}

// run reads the settings, builds a role and runs it. Log lines go to standard
// output; if it blocks, lines are dropped instead of blocking the role.
func (a nodeArgs) run(ctx context.Context, role string, reloads chan os.Signal, stderr io.Writer, build func(nodeProcess) (process, error)) int {
	path := a.path()
	node, err := platform.LoadNode(path)
	if err != nil {
		return failed(stderr, err)
	}
	writer := asyncwriter.New(os.Stdout, asyncwriter.DefaultCapacity)
	defer writer.Close()
	log, err := settings.NewLogger(settings.Log{Level: a.LogLevel}, writer)
	if err != nil {
		return failed(stderr, err)
	}
	defer settings.CaptureStandardLog(log)()
	store, err := platform.NewStore(node.StoreURL, platform.StoreOptions{WatchWait: storeWatchTimeout})
	if err != nil {
		return failed(stderr, err)
	}
	limitGoMemory(node.Machine)
	registry := metrics.New(map[string]string{"role": role, "instance": node.Name})
	p, err := build(nodeProcess{node: node, log: log, metrics: registry, store: store})
	if err != nil {
		return failed(stderr, err)
	}
	defer watchReload(path, node, reloads, log)()
	if err := p.Run(ctx); err != nil {
		log.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// limitGoMemory makes the garbage collector run as often as the memory of the machine needs, as a second line of
// defence behind the limits of clients. It does nothing if the memory is not known.
func limitGoMemory(m ingress.Machine) {
	if limit := ingress.NewPlan(m).GoMemory; limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

func (a nodeArgs) path() string {
	if a.Settings != "" {
		return a.Settings
	}
	return os.Getenv(platform.SettingsVariable)
}

// reloadInterval is how often the settings file is checked for changes, since it may
// change without a signal.
const reloadInterval = 2 * time.Second

// notifyReloads returns a channel that receives SIGHUP. It is called before anything else: without a
// handler the signal ends the process.
func notifyReloads() chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchReload reads the settings again on SIGHUP and when the file changes. All
// settings (addresses and names) are fixed while a process runs, so a reload only
// validates the file and logs whether the next start would use other settings.
func watchReload(path string, current settings.Node, signals chan os.Signal, log *zap.Logger) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			signalled := false
			select {
			case <-done:
				return
			case <-signals:
				signalled = true
			case <-ticker.C:
			}
			current = reload(path, current, signalled, log)
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

func reload(path string, current settings.Node, signalled bool, log *zap.Logger) settings.Node {
	next, err := platform.LoadNode(path)
	if err != nil {
		log.Warn("cannot reload the settings; keeping the current ones", zap.Error(err))
		return current
	}
	if next != current || signalled {
		log.Info("settings reloaded", zap.Bool("changed", next != current), zap.Bool("signal", signalled))
	}
	return next
}
