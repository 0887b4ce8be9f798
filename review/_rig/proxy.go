package main

import (
	"net"
	"sync"
)

// proxy forwards TCP channels, and holds all bytes back while it is cut: nothing is lost or
// reset, as on a partitioned link.
type proxy struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// open is closed unless the link is cut.
	open chan struct{}
	// silenced is closed when the present channels go silent.
	silenced chan struct{}
}

func startProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: make(chan struct{}), silenced: make(chan struct{})}
	close(p.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) wait() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.open)
}

// silence makes the channels that are open now silent for good: nothing comes through, and
// nothing is closed or reset. New channels work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	p.wait()
	p.mu.Lock()
	silenced := p.silenced
	p.mu.Unlock()
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer s.Close()
	var wg sync.WaitGroup
	for _, x := range [][2]net.Conn{{c, s}, {s, c}} {
		wg.Go(func() { p.copy(x[1], x[0], silenced) })
	}
	wg.Wait()
}

func (p *proxy) copy(to, from net.Conn, silenced <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.wait()
		select {
		case <-silenced:
			// The channel stays as it is until the case ends.
			select {}
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
