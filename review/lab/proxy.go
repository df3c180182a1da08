package main

import (
	"net"
	"sync"
	"time"
)

// proxy is a link that can be partitioned: while it is, bytes are held up in both directions and
// new channels don't get through. Bytes of a channel that its sender closes meanwhile are lost.
type proxy struct {
	address, target string
	mu              sync.Mutex
	cut             bool
	healed          *sync.Cond
}

func (w *world) startProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	p := &proxy{address: l.Addr().String(), target: target}
	p.healed = sync.NewCond(&p.mu)
	go func() { <-w.ended; l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.healed.Broadcast()
}

// wait returns when the link is not partitioned.
func (p *proxy) wait() {
	p.mu.Lock()
	for p.cut {
		p.healed.Wait()
	}
	p.mu.Unlock()
}

func (p *proxy) serve(in net.Conn) {
	defer in.Close()
	p.wait()
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.wait()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pipe(out, in)
	go pipe(in, out)
	<-done
}
