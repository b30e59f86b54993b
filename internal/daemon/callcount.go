package daemon

import (
	"context"
	"expvar"
	"strings"

	"google.golang.org/grpc/stats"

	"github.com/bluebellsail/bluebellsail/internal/linkshare"
)

// callCount counts the calls between this process and others of the fleet by method. The zero value is ready to use.
type callCount struct {
	// in and out are the bytes received and sent, of calls made and of calls served.
	in, out expvar.Map
	// made and served count the calls.
	made, served expvar.Map
	// traffic, if not nil, counts the bytes of all calls too.
	traffic *linkshare.Traffic
}

// vars returns the counters.
func (c *callCount) vars() expvar.Var {
	vars := new(expvar.Map)
	vars.Set("in", &c.in)
	vars.Set("out", &c.out)
	vars.Set("made", &c.made)
	vars.Set("served", &c.served)
	return vars
}

// methodKey is the context key of a call's method.
type methodKey struct{}

// TagRPC implements stats.Handler.
func (c *callCount) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, info.FullMethodName[strings.LastIndexByte(info.FullMethodName, '/')+1:])
}

// HandleRPC implements stats.Handler.
func (c *callCount) HandleRPC(ctx context.Context, s stats.RPCStats) {
	method, _ := ctx.Value(methodKey{}).(string)
	switch e := s.(type) {
	case *stats.Begin:
		c.began(method, e.IsClient())
	case *stats.InPayload:
		c.count(method, e.WireLength, 0)
	case *stats.InHeader:
		c.count(method, e.WireLength, 0)
	case *stats.InTrailer:
		c.count(method, e.WireLength, 0)
	case *stats.OutPayload:
		c.count(method, 0, e.WireLength)
	}
}

func (c *callCount) began(method string, client bool) {
	if client {
		c.made.Add(method, 1)
		return
	}
	c.served.Add(method, 1)
}

func (c *callCount) count(method string, in, out int) {
	c.in.Add(method, int64(in))
	c.out.Add(method, int64(out))
	if c.traffic != nil {
		c.traffic.Count(linkshare.Peers, in, out)
	}
}

// TagConn implements stats.Handler.
func (c *callCount) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *callCount) HandleConn(context.Context, stats.ConnStats) {}
