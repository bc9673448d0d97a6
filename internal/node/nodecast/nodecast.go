// Package nodecast carries bulletins between nodes, each in one datagram. A
// bulletin is worth nothing once the next one is there, so nothing is sent
// again and nothing waits, which a stream between two nodes could not give.
package nodecast

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
)

// maxDatagram is the size of the largest datagram over IPv4.
const maxDatagram = 65507

// Cast is a node's socket for bulletins.
type Cast struct {
	conn *net.UDPConn
}

// New listens on the address.
func New(address string) (*Cast, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address for fellow nodes")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "listen for fellow nodes")
	}
	return &Cast{conn: conn}, nil
}

// Address returns where the node hears its fellows.
func (cast *Cast) Address() string { return cast.conn.LocalAddr().String() }

// Close ends the socket.
func (cast *Cast) Close() error {
	return errors.Wrap(cast.conn.Close(), "close the socket for fellow nodes")
}

// Send sends the bulletin to each address and returns the first error.
func (cast *Cast) Send(bulletin node.Bulletin, addresses []string) error {
	data, err := Encode(bulletin)
	if err != nil {
		return err
	}
	var first error
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = cast.conn.WriteToUDPAddrPort(data, parsed)
		}
		if err != nil && first == nil {
			first = errors.Wrap(err, "tell a fellow node")
		}
	}
	return first
}

// Receive waits for the next bulletin. A datagram that is no bulletin yields a
// *GarbledError, after which the socket goes on.
func (cast *Cast) Receive(buffer []byte) (node.Bulletin, error) {
	count, from, err := cast.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return node.Bulletin{}, errors.Wrap(err, "hear fellow nodes")
	}
	bulletin, err := Decode(buffer[:count])
	if err != nil {
		return node.Bulletin{}, &GarbledError{from: from.String(), cause: err}
	}
	return bulletin, nil
}

// NewBuffer returns a buffer for Receive.
func NewBuffer() []byte { return make([]byte, maxDatagram) }

// GarbledError is a datagram that is no bulletin.
type GarbledError struct {
	from  string
	cause error
}

// Unwrap returns the cause.
func (err *GarbledError) Unwrap() error { return err.cause }

func (err *GarbledError) Error() string {
	return "datagram from " + err.from + " is no bulletin: " + err.cause.Error()
}

// Encode returns the bulletin's datagram.
func Encode(bulletin node.Bulletin) ([]byte, error) {
	message := &nodepb.Bulletin{}
	message.SetHost(bulletin.Host())
	message.SetAddress(bulletin.Address())
	message.SetIncarnation(bulletin.Incarnation())
	message.SetSequence(bulletin.Sequence())
	message.SetWallMillis(int64(bulletin.Wall()))
	message.SetStopping(bulletin.Stopping())
	accounts := make([]*nodepb.AccountUse, 0, len(bulletin.Accounts()))
	for _, use := range bulletin.Accounts() {
		form := &nodepb.AccountUse{}
		form.SetAccount(use.Name())
		form.SetUsed(use.Tokens())
		accounts = append(accounts, form)
	}
	message.SetAccounts(accounts)
	message.SetServers(encodeServers(bulletin.Servers()))
	pools := make([]*nodepb.PoolUse, 0, len(bulletin.Pools()))
	for _, use := range bulletin.Pools() {
		form := &nodepb.PoolUse{}
		form.SetPool(use.Name())
		form.SetRequests(use.Requests())
		form.SetTokens(use.Tokens())
		pools = append(pools, form)
	}
	message.SetPools(pools)
	windows := make([]*nodepb.WindowUse, 0, len(bulletin.Windows()))
	for _, runs := range bulletin.Windows() {
		form := &nodepb.WindowUse{}
		form.SetWindow(runs.Window())
		form.SetAccount(runs.Account())
		form.SetRuns(runs.Runs())
		windows = append(windows, form)
	}
	message.SetWindows(windows)
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode bulletin")
}

func encodeServers(servers []node.ServerWork) []*nodepb.ServerUse {
	forms := make([]*nodepb.ServerUse, 0, len(servers))
	for _, work := range servers {
		form := &nodepb.ServerUse{}
		form.SetServer(work.Server())
		form.SetAttempts(int32(work.Attempts()))
		form.SetWaitingTokens(int32(work.Tokens()))
		forms = append(forms, form)
	}
	return forms
}

// Decode reads a datagram.
func Decode(data []byte) (node.Bulletin, error) {
	message := &nodepb.Bulletin{}
	if err := proto.Unmarshal(data, message); err != nil {
		return node.Bulletin{}, errors.Wrap(err, "decode bulletin")
	}
	if message.GetHost() == "" || message.GetIncarnation() <= 0 {
		return node.Bulletin{}, errors.New("decode bulletin: it names no host or process")
	}
	if _, err := netip.ParseAddrPort(message.GetAddress()); err != nil {
		return node.Bulletin{}, errors.Wrap(err, "decode bulletin")
	}
	bulletin := node.NewBulletin(message.GetHost(), message.GetAddress(), message.GetIncarnation(), message.GetSequence(),
		clock.Millis(message.GetWallMillis()), message.GetStopping())
	var accounts, pools []node.Use
	for _, form := range message.GetAccounts() {
		accounts = append(accounts, node.NewUse(form.GetAccount(), 0, form.GetUsed()))
	}
	for _, form := range message.GetPools() {
		pools = append(pools, node.NewUse(form.GetPool(), form.GetRequests(), form.GetTokens()))
	}
	var servers []node.ServerWork
	for _, form := range message.GetServers() {
		servers = append(servers, node.NewServerWork(form.GetServer(), int(form.GetAttempts()), int(form.GetWaitingTokens())))
	}
	var windows []node.WindowRuns
	for _, form := range message.GetWindows() {
		windows = append(windows, node.NewWindowRuns(form.GetWindow(), form.GetAccount(), form.GetRuns()))
	}
	return bulletin.WithUse(accounts, servers, pools, windows), nil
}
