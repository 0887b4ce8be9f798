package dev

import (
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// publishInstances tells the platform stand-in who is live.
func (s *system) publishInstances() error {
	body, err := json.Marshal(s.instances)
	if err != nil {
		return eris.Wrap(err, "dev: instances")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.platform + "/instances")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, setupTime); err != nil {
		return eris.Wrap(err, "dev: publish instances")
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return eris.Errorf("dev: publish instances: status %d", resp.StatusCode())
	}
	return nil
}
