package settings

import (
	"net"
	"strconv"
	"time"
)

// Node is what a process learns of the instance that the platform runs it on.
// Addresses that its role does not use are empty.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	IP            string
	CPU           int           // thousandths of a core that the process gets; 0: not known
	LinkPort      int           // UDP, of links between processes of the system
	CallerAddress string        // TCP, for callers
	ReadyAddress  string        // TCP, for the balancer
	ReportAddress string        // TCP, where the target beside an agent reports
	TargetAddress string        // TCP, of the target beside an agent
	Service       string        // of the target beside an agent
	StoreURL      string        // of the platform's store
	MaxLease      time.Duration // longest lease that a target grants its runs
	GracePeriod   time.Duration // from the request to stop until the process is killed
}

// LinkAddress returns the address of links.
func (n Node) LinkAddress() string { return net.JoinHostPort(n.IP, strconv.Itoa(n.LinkPort)) }
