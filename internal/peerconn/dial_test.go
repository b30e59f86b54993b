package peerconn

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against a host that reaches the control group only four seconds after a partition has
// ended. Its first packet to a control host is lost in the partition, which ends 300 ms later,
// and the kernel retransmits such a packet after one, three and seven seconds.
func TestDialRetriesSoonAfterLostPacket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mended := time.Now().Add(300 * time.Millisecond)
		dial := DialWithRetries(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Now().Before(mended) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			here, there := net.Pipe()
			_ = there.Close()
			return here, nil
		})
		began := time.Now()
		conn, err := dial(testutil.Within(t, time.Second), "10.0.0.1:7000")
		testutil.NoError(t, err)
		_ = conn.Close()
		if took := time.Since(began); took > 600*time.Millisecond {
			t.Errorf("connected after %v", took)
		}
	})
}

func TestRefusedConnectionIsNotRetried(t *testing.T) {
	tries := 0
	dial := DialWithRetries(func(context.Context, string, string) (net.Conn, error) {
		tries++
		return nil, errors.New("connection refused")
	})
	if _, err := dial(t.Context(), "10.0.0.1:7000"); err == nil || tries != 1 {
		t.Errorf("%d tries, %v", tries, err)
	}
}

func TestDialEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := DialWithRetries(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		began := time.Now()
		if _, err := dial(testutil.Within(t, 350*time.Millisecond), "10.0.0.1:7000"); err == nil {
			t.Error("connected")
		}
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Errorf("gave up after %v", took)
		}
	})
}
