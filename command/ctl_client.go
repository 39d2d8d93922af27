package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// clientTLS returns the TLS configuration of a client with a role. It is a variable
// so that tests can replace it.
var clientTLS = func(s settings.TLS, role wire.Role) (*tls.Config, error) {
	c, err := transport.NewCredentials(s, transport.Identity{Role: role, Name: "ctl"})
	if err != nil {
		return nil, err
	}
	return c.TLS("http/1.1"), nil
}

const (
	// ctlTimeout exceeds the time that an entry takes at most for a change: 5 s
	// for the store and 4 s for confirmations.
	ctlTimeout = 15 * time.Second

	// maxResponseBytes is enough for a conflict with two documents of the largest
	// size.
	maxResponseBytes = 8 << 20
)

// ctlClient calls the operator API of one entry.
type ctlClient struct {
	base string
	http http.Client
}

func newCtlClient(a ctlArgs) (*ctlClient, error) {
	tlsConfig, err := clientTLS(settings.TLS{
		CA:                a.CA,
		Certificate:       a.Certificate,
		Key:               a.Key,
		DevelopmentSecret: a.DevelopmentSecret,
	}, wire.RoleOperator)
	if err != nil {
		return nil, err
	}
	roundTripper := &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}
	return &ctlClient{
		base: "https://" + a.Address,
		http: http.Client{Transport: roundTripper, Timeout: ctlTimeout},
	}, nil
}

// get decodes the response to a GET request into v and returns its body.
func (c *ctlClient) get(ctx context.Context, path string, v any) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, err
	}
	status, body, err := c.do(req)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, refusalError(status, body)
	}
	return body, json.Unmarshal(body, v)
}

func refusalError(status int, body []byte) error {
	var answer operator.ChangeResponse
	if err := json.Unmarshal(body, &answer); err != nil || answer.Code == 0 {
		return fmt.Errorf("the entry answered with HTTP status %d", status)
	}
	return fmt.Errorf("refused: %d %s: %s", answer.Code, answer.Name, answer.Reason)
}

func (c *ctlClient) do(req *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, body, err
}

// change sends a change. Without a complete response the outcome is unknown, except
// if no connection was made: then the change was not sent.
func (c *ctlClient) change(ctx context.Context, method, path string, body []byte, header http.Header, id string) operator.ChangeResponse {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return localChange(config.Refused, result.ConfigUnavailable, "the change was not sent: "+err.Error(), id)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(operator.ChangeIDHeader, id)
	status, answer, err := c.do(req)
	if err != nil && !connected.Load() {
		return localChange(config.Refused, result.ConfigUnavailable, "the change was not sent: "+err.Error(), id)
	}
	if err != nil {
		return localChange(config.Unknown, result.ConfigUnknown, "no answer: "+err.Error(), id)
	}
	var out operator.ChangeResponse
	if err := json.Unmarshal(answer, &out); err != nil || out.Outcome == "" {
		return localChange(config.Unknown, result.ConfigUnknown, fmt.Sprintf("no answer of an entry, but HTTP status %d", status), id)
	}
	out.ChangeID = id
	return out
}

// localChange returns a result for a change that the entry did not respond to.
func localChange(o config.Outcome, code result.Code, reason, id string) operator.ChangeResponse {
	return operator.ChangeResponse{
		Result:   config.Result{Outcome: o, Code: code, Name: code.String(), Reason: reason},
		ChangeID: id,
	}
}

// afterEarlierAttempt corrects the response to a repeated change. If the entry
// refused it without reading the document, the earlier attempt may have been applied,
// and the outcome is unknown.
func afterEarlierAttempt(c operator.ChangeResponse) operator.ChangeResponse {
	documentNotRead := c.Code == result.ConfigUnavailable || c.Code == result.NotPermitted
	if c.Outcome != config.Refused || !documentNotRead {
		return c
	}
	reason := c.Reason + "; an earlier attempt with this change id may have been applied"
	return localChange(config.Unknown, c.Code, reason, c.ChangeID)
}
