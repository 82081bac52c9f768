package harness

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// firstNetwork and lastNetwork bound the second octets tried when the one of the document is in use.
	firstNetwork = 30
	lastNetwork  = 250
	lockPort     = 7999
)

var errNoNetwork = eris.New("every loopback network is in use")

// network is one 127.<octet>.0.0/16, held by an open socket, so that two fleets on one machine cannot meet.
type network struct {
	octet byte
	lock  net.Listener
}

// holdNetwork takes the preferred network, or the first free one.
func holdNetwork(ctx context.Context, preferred byte) (*network, error) {
	candidates := []byte{preferred}
	for octet := firstNetwork; octet <= lastNetwork; octet++ {
		candidates = append(candidates, byte(octet))
	}
	for _, octet := range candidates {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, 255, 254}), lockPort)
		lock, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
		if err == nil {
			return &network{octet: octet, lock: lock}, nil
		}
	}
	return nil, wrapError("choose loopback network", KindNetwork, errNoNetwork)
}

func (n *network) release() {
	_ = n.lock.Close()
}

// address returns an address of the network; zone counts from 1.
func (n *network) address(zone, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.octet, byte(zone), byte(host)}), port)
}

// move rewrites the loopback addresses of a document from one network to this one.
func (n *network) move(text string, from byte) string {
	pattern := regexp.MustCompile(fmt.Sprintf(`"127\.%d\.(\d+\.\d+:\d+)"`, from))
	return pattern.ReplaceAllString(text, fmt.Sprintf(`"127.%d.$1"`, n.octet))
}

// logNetwork says which network is used when it is not the document's.
func logNetwork(logger logrus.FieldLogger, from, to byte) {
	if from != to {
		logger.Infof("network 127.%d.0.0/16 is in use, 127.%d.0.0/16 is used instead", from, to)
	}
}

// pollInterval is the time between two looks at a state that is waited for.
const pollInterval = 25 * time.Millisecond
