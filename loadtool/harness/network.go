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
	// firstOctet and lastOctet limit the second octets that are tried if the network of the document is in use.
	firstOctet      = 30
	lastOctet       = 250
	reservationPort = 7999
)

var errNoNetwork = eris.New("all loopback networks are in use")

// network is a loopback network 127.<octet>.0.0/16. An open socket reserves it, so that two fleets on one machine never
// use the same addresses.
type network struct {
	octet       byte
	reservation net.Listener
}

// reserveNetwork reserves the preferred network, or else the first free one.
func reserveNetwork(ctx context.Context, preferred byte) (*network, error) {
	candidates := []byte{preferred}
	for octet := firstOctet; octet <= lastOctet; octet++ {
		candidates = append(candidates, byte(octet))
	}
	for _, octet := range candidates {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, 255, 254}), reservationPort)
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
		if err == nil {
			return &network{octet: octet, reservation: listener}, nil
		}
	}
	return nil, wrapError("choose loopback network", KindNetwork, errNoNetwork)
}

func (n *network) release() {
	_ = n.reservation.Close()
}

// address returns an address of the network; zone counts from 1.
func (n *network) address(zone, host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.octet, byte(zone), byte(host)}), port)
}

// rewriteAddresses replaces the loopback addresses of another network in a document by those of this network.
func (n *network) rewriteAddresses(text string, from byte) string {
	pattern := regexp.MustCompile(fmt.Sprintf(`"127\.%d\.(\d+\.\d+:\d+)"`, from))
	return pattern.ReplaceAllString(text, fmt.Sprintf(`"127.%d.$1"`, n.octet))
}

// logReplacedNetwork logs the network in use if it differs from that of the document.
func logReplacedNetwork(logger logrus.FieldLogger, from, to byte) {
	if from != to {
		logger.Infof("network 127.%d.0.0/16 is in use; using 127.%d.0.0/16 instead", from, to)
	}
}

// readyPollInterval is the time between two readiness probes of a process.
const readyPollInterval = 25 * time.Millisecond
