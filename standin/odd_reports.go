package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// OddReports is the number of kinds of reports that SendOddReport sends.
	OddReports = 8
	// deepNesting is a depth at which recursive decoders fail.
	deepNesting = 20000
)

// SendOddReport sends the target's agent a report, or a deregistration, as another writer might. It
// must have no effect there.
func (r *Runner) SendOddReport(agent, service string, kind int) {
	path, body := r.oddReport(service, kind)
	// An error means that the agent is not running.
	if resp, err := http.Post("http://"+agent+path, "application/json", strings.NewReader(body)); err == nil {
		resp.Body.Close()
	}
}

func (r *Runner) oddReport(service string, kind int) (path, body string) {
	const format = `{"service":%q,"address":"127.0.0.1:99999","zone":"a","state":%q,"capacity":{"cpu":%s,"mem_mb":8192,"gpu":0},"labels":["m"],"sequence":%s,"born":%s}`
	own, foreign := "/instances/"+r.ID()+"/heartbeat", "/instances/w-71c0/heartbeat"
	later := fmt.Sprint(time.Now().Add(-time.Second).UnixMilli())
	switch kind {
	case 0:
		return foreign, fmt.Sprintf(format, service, "ready", "4000", "1", later)
	case 1:
		return own, fmt.Sprintf(format, service, "draining", "0", "1000000", later)
	case 2:
		return foreign, fmt.Sprintf(format, "another", "ready", "4000", "1", later)
	case 3:
		return own, fmt.Sprintf(format, service, "gone", "4000", "1000000", "1")
	case 4:
		return foreign, fmt.Sprintf(format, service, "ready", "1e400", "1e400", "1e400")
	case 5:
		return foreign, fmt.Sprintf(format, service, "ready", "9223372036854775807", "18446744073709551615", "9223372036854775807")
	case 6:
		return own, `{"labels":` + strings.Repeat("[", deepNesting) + strings.Repeat("]", deepNesting) + "}"
	default:
		return "/instances/w-71c0/deregister", "{}"
	}
}
