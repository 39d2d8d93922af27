package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { plays["cancel-again"] = playCancelAgain }

// playCancelAgain cancels jobs whose tasks last longer than a cancelled task may. The channel of
// the first DELETE is reset before the request is sent on, so that the client sends it again, to
// another node. It checks that nothing of a job runs cancel_ms and stop_ms after its cancelling was
// acknowledged.
func playCancelAgain(rec *record, trouble bool) error {
	const (
		jobs     = 12
		between  = 2 * time.Second
		taskTime = 7500 * time.Millisecond
		wait     = 9 * time.Second
	)
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 4})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	resetter, err := d.startResetter()
	if err != nil {
		return err
	}
	c, b := newClients(d), newBalancer(d.ctx, d.gateways)
	var all sync.WaitGroup
	for number := range jobs {
		all.Go(func() {
			j := newJob(2, spec{work: taskTime, cpu: 1000})
			node := b.node(number, nil)
			all.Go(func() { c.send(http.MethodPost, node.front(), j.path(), j.body(), wait, 0) })
			time.Sleep(500 * time.Millisecond)
			if trouble {
				c.send(http.MethodDelete, resetter, j.path(), nil, time.Second, 0)
				node = b.node(number, node)
			}
			a := c.send(http.MethodDelete, node.front(), j.path(), nil, time.Second, 0)
			if a.status != http.StatusOK && a.status != http.StatusGone {
				rec.write("cancelling is not acknowledged", "path", j.path(), "answer", a.String())
				return
			}
			time.Sleep(cancelTime + stopTime + 500*time.Millisecond)
			if n := d.checker.runningOf(j.id); n > 0 {
				rec.breach("UNASKED: %d tasks of job %s run %v after its cancelling was answered with %q", n, j.id, cancelTime+stopTime+500*time.Millisecond, a.String())
			}
		})
		time.Sleep(between)
	}
	all.Wait()
	return nil
}

// startResetter serves an address of the ingress whose channels are reset once the request has
// arrived, before it is sent on to a node.
func (d *deployment) startResetter() (address string, err error) {
	address = d.address(5, frontPort)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		<-d.ctx.Done()
		_ = l.Close()
	}()
	go func() {
		for {
			channel, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = channel.Read(make([]byte, 4096)) // what it says is dropped
			_ = channel.(*net.TCPConn).SetLinger(0) // so that closing resets the channel
			_ = channel.Close()
			d.record.write("channel reset", "at", address)
		}
	}()
	return address, nil
}
