package fakes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports that FreeAddr gives out. They lie below the range from which Linux
// takes the ports of outgoing connections and of listeners without a port
// (32768 to 60999): a port of that range that is free now may be taken by any
// process before its user listens on it.
const (
	firstPort       = 20000
	ports           = 12000
	portsPerProcess = 64
)

var portsGiven atomic.Int64

// FreeAddr returns a loopback address on which nothing listens. Processes that
// run at the same time begin at different ports.
func FreeAddr() (string, error) {
	for range ports {
		n := int64(os.Getpid())*portsPerProcess + portsGiven.Add(1)
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no port from %d to %d is free", firstPort, firstPort+ports-1)
}
