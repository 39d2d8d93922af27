package settings

import (
	"net"
	"strconv"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// Node describes the instance on which the platform runs this process. Addresses that
// the process's role does not use are empty.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	IP            string
	CPU           int // thousandths of a core that the process gets; 0: not known
	Machine       ingress.Machine
	LinkPort      int           // UDP port for links between processes of the system
	CallerAddress string        // TCP, for callers
	ReadyAddress  string        // TCP, for readiness probes of the load balancer
	ReportAddress string        // TCP, where the target beside an agent reports
	TargetAddress string        // TCP, of the target beside an agent
	Service       string        // of the target beside an agent
	StoreURL      string        // of the platform's store
	MaxLease      time.Duration // longest lease that a target grants its runs
	GracePeriod   time.Duration // time from the stop request until the process is killed
	FarFactor     float64       // run time of a task in another rack than its data's, relative to that in it; 0: not known
	FirstStart    bool          // the whole system starts for the first time
}

// LinkAddress returns IP and LinkPort as host:port.
func (n Node) LinkAddress() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.LinkPort)) }
