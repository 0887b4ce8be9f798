package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the entries' metrics.
const (
	MetricPrefillTokens = "jayford_prefill_tokens_total"
	MetricPrefillWasted = "jayford_prefill_wasted_tokens_total"
)

const (
	scrapeTimeout  = 5 * time.Second
	maxScrapeBytes = 16 << 20
)

// ErrPrefillCounters means that the counters of prefill work couldn't be read.
var ErrPrefillCounters = errors.New("load: prefill counts can't be read")

// Prefill counts prefill work in tokens.
type Prefill struct {
	Tokens float64 `json:"tokens"`
	// Wasted counts tokens whose prefill result was discarded or never used.
	Wasted float64 `json:"wasted"`
	// Share is Wasted divided by Tokens.
	Share float64 `json:"share"`
}

func (o *Options) readPrefill(ctx context.Context) (Prefill, error) {
	if o.Prefill == nil {
		return Prefill{}, nil
	}
	p, err := o.Prefill(ctx)
	if err != nil {
		return Prefill{}, fmt.Errorf("%w: %w", ErrPrefillCounters, err)
	}
	return p, nil
}

func (p Prefill) since(before Prefill) Prefill {
	d := Prefill{Tokens: p.Tokens - before.Tokens, Wasted: p.Wasted - before.Wasted}
	if d.Tokens > 0 {
		d.Share = d.Wasted / d.Tokens
	}
	return d
}

// ScrapePrefill returns a function for Options.Prefill that sums the metrics of
// the entries' operator listeners ("ip:port"). An entry's counters restart at 0
// with its process, so the difference over a restart is too small.
func ScrapePrefill(operators []string) func(context.Context) (Prefill, error) {
	transport := &http.Transport{Proxy: nil, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	client := &http.Client{Timeout: scrapeTimeout, Transport: transport}
	return func(ctx context.Context) (Prefill, error) {
		defer transport.CloseIdleConnections()
		var sum Prefill
		for _, o := range operators {
			if err := scrape(ctx, client, o, &sum); err != nil {
				return Prefill{}, eris.Wrapf(err, "operator %s", o)
			}
		}
		return sum, nil
	}
}

func scrape(ctx context.Context, client *http.Client, operator string, sum *Prefill) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", response.StatusCode)
	}
	return sumMetrics(io.LimitReader(response.Body, maxScrapeBytes), sum)
}

// sumMetrics adds all series of the two metrics to sum, whatever their labels.
func sumMetrics(text io.Reader, sum *Prefill) error {
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "{")
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			continue
		}
		switch name {
		case MetricPrefillTokens:
			sum.Tokens += value
		case MetricPrefillWasted:
			sum.Wasted += value
		}
	}
	return lines.Err()
}
