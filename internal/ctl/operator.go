package ctl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"jayford.example/jayford/internal/response"
	"jayford.example/jayford/internal/strictjson"
)

const (
	pathStatus  = "/status"
	pathDump    = "/debug/state"
	pathExplain = "/explain"
	maxDump     = 256 << 20
)

// fetch gets JSON from the operator listener of a process.
func (c *client) fetch(address, path string, query url.Values) (json.RawMessage, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.exchange(address, path, func(*fasthttp.Request) {})
}

// post gives an order to a process's operator listener and returns the answer.
func (c *client) post(address, path string, form url.Values) (json.RawMessage, error) {
	return c.exchange(address, path, func(r *fasthttp.Request) {
		r.Header.SetMethod(fasthttp.MethodPost)
		r.Header.SetContentType("application/x-www-form-urlencoded")
		r.SetBodyString(form.Encode())
	})
}

// exchange makes one call to a process's operator listener.
func (c *client) exchange(address, path string, prepare func(*fasthttp.Request)) (json.RawMessage, error) {
	if !strictjson.IsAddress(address, false) {
		return nil, eris.Wrapf(errUsage, "operator address %q: expected ip:port", address)
	}
	host := &fasthttp.HostClient{
		Addr: address, MaxResponseBodySize: maxDump, NoDefaultUserAgentHeader: true, Name: "jayfordctl",
		MaxIdemponentCallAttempts: 1, Dial: c.dialOperator,
	}
	defer host.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	prepare(request)
	if err := host.DoTimeout(request, response, c.options.Timeout); err != nil {
		return nil, eris.Wrapf(errUnreachable, "%s: %v", address, err)
	}
	body := bytes.Clone(response.Body())
	switch {
	case response.StatusCode() >= fasthttp.StatusInternalServerError:
		return nil, eris.Wrapf(errUnreachable, "%s%s: status %d: %s", address, path, response.StatusCode(), body)
	case response.StatusCode() != fasthttp.StatusOK:
		return nil, eris.Wrapf(errInvalid, "%s%s: status %d: %s", address, path, response.StatusCode(), body)
	case !json.Valid(body):
		return nil, eris.Wrapf(errInvalid, "%s%s: answer isn't JSON", address, path)
	}
	return body, nil
}

func (c *client) dialOperator(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, c.options.Timeout)
	if err != nil {
		return nil, err
	}
	return response.NewConn(conn), nil
}

// printJSON prints a JSON response with indentation.
func (c *client) printJSON(answer json.RawMessage) error {
	return c.print(answer, func(w io.Writer) error {
		var b bytes.Buffer
		if err := json.Indent(&b, answer, "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(w, b.String())
		return err
	})
}

type dumpCommand struct {
	client   *client
	Operator string `long:"operator" value-name:"IP:PORT" description:"operator listener of the process"`
	Args     struct {
		Operator string `positional-arg-name:"IP:PORT" description:"operator listener of the process, instead of the flag"`
	} `positional-args:"yes"`
}

// Execute prints the state dump of one process.
func (cmd *dumpCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if (cmd.Operator == "") == (cmd.Args.Operator == "") {
		return eris.Wrap(errUsage, "expected exactly one operator listener, --operator IP:PORT")
	}
	answer, err := cmd.client.fetch(cmp.Or(cmd.Operator, cmd.Args.Operator), pathDump, nil)
	if err != nil {
		return err
	}
	return cmd.client.printJSON(answer)
}

type explainCommand struct {
	client       *client
	Operator     string `long:"operator" required:"yes" value-name:"IP:PORT" description:"operator listener of an entry"`
	Model        string `long:"model"`
	Organisation string `long:"organisation"`
	Priority     string `long:"priority" choice:"interactive" choice:"batch" default:"interactive"`
	Method       string `long:"method" default:"POST"`
	Path         string `long:"path" default:"/v1/completions"`
	Group        string `long:"group"`
	Zone         string `long:"zone" description:"availability zone of the entry"`
}

// Execute queries an entry for the placement of a request with the given
// properties.
func (cmd *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	query := url.Values{}
	for key, value := range map[string]string{
		"model": cmd.Model, "organisation": cmd.Organisation, "priority": cmd.Priority,
		"method": cmd.Method, "path": cmd.Path, "group": cmd.Group, "zone": cmd.Zone,
	} {
		if value != "" {
			query.Set(key, value)
		}
	}
	answer, err := cmd.client.fetch(cmd.Operator, pathExplain, query)
	if err != nil {
		return err
	}
	return cmd.client.printJSON(answer)
}
