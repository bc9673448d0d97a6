package nodecast

import (
	"math"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/evidencecodec"
	"sapphirehead/internal/node/nodepb"
)

// Encode returns the bulletin's datagram. It contains each name once, and sums
// are packed lists in the order of the names, because each node decodes many
// bulletins per second.
func Encode(bulletin node.Bulletin) ([]byte, error) {
	message := &nodepb.Bulletin{}
	message.SetHost(bulletin.Host())
	message.SetAddress(bulletin.Address())
	message.SetIncarnation(bulletin.Incarnation())
	message.SetSequence(bulletin.Sequence())
	message.SetWallMillis(int64(bulletin.Wall()))
	message.SetStopping(bulletin.Stopping())
	message.SetConfiguration(bulletin.Configuration())
	message.SetLeaving(bulletin.Leaving())
	message.SetUptimeMillis(int64(bulletin.Uptime()))
	message.SetConfigurationAgeMillis(int64(bulletin.ConfigurationAge()))
	message.SetReportedWindow(bulletin.ReportedWindow())
	message.SetListServiceMillis(int64(bulletin.ListService()))
	encodeAccounts(message, bulletin)
	encodeServers(message, bulletin.Servers())
	encodeServerLimits(message, bulletin.ServerLimits())
	message.SetCrashEvidence(evidencecodec.Encode(bulletin.Evidence()))
	message.SetReleases(encodeReleases(bulletin.Releases()))
	message.SetSpeeds(encodeSpeeds(bulletin.Speeds()))
	message.SetRollouts(encodeRollouts(bulletin))
	message.SetAdmission(encodeAdmission(bulletin.Admission()))
	pools := make([]*nodepb.PoolUse, 0, len(bulletin.Pools()))
	for _, usage := range bulletin.Pools() {
		form := &nodepb.PoolUse{}
		form.SetPool(usage.Name())
		form.SetRequests(usage.Requests())
		form.SetTokens(usage.Tokens())
		pools = append(pools, form)
	}
	message.SetPools(pools)
	data, err := proto.Marshal(message)
	return data, errors.Wrap(err, "encode bulletin")
}

func encodeAccounts(message *nodepb.Bulletin, bulletin node.Bulletin) {
	var names []string
	indexes := map[string]int{}
	indexOf := func(name string) int {
		index, ok := indexes[name]
		if !ok {
			index = len(names)
			indexes[name] = index
			names = append(names, name)
		}
		return index
	}
	for _, usage := range bulletin.Accounts() {
		indexOf(usage.Name())
	}
	for _, runs := range bulletin.Windows() {
		indexOf(runs.Account())
	}
	used := make([]int64, len(names))
	for _, usage := range bulletin.Accounts() {
		used[indexOf(usage.Name())] = usage.Tokens()
	}
	byWindow := map[int64][]int64{}
	var windows []*nodepb.WindowUse
	for _, runs := range bulletin.Windows() {
		if byWindow[runs.Window()] == nil {
			byWindow[runs.Window()] = make([]int64, len(names))
			form := &nodepb.WindowUse{}
			form.SetWindow(runs.Window())
			form.SetRuns(byWindow[runs.Window()])
			windows = append(windows, form)
		}
		byWindow[runs.Window()][indexOf(runs.Account())] = runs.Runs()
	}
	message.SetAccounts(names)
	message.SetUsed(used)
	message.SetWindows(windows)
}

func encodeServers(message *nodepb.Bulletin, servers []node.ServerWork) {
	hashes := make([]uint64, 0, len(servers))
	attempts := make([]int32, 0, len(servers))
	tokens := make([]int32, 0, len(servers))
	for _, work := range servers {
		hashes = append(hashes, work.Server())
		attempts = append(attempts, int32(work.Attempts()))
		tokens = append(tokens, int32(work.Tokens()))
	}
	message.SetServers(hashes)
	message.SetAttempts(attempts)
	message.SetWaitingTokens(tokens)
}

func encodeServerLimits(message *nodepb.Bulletin, limits []node.ServerLimit) {
	forms := make([]*nodepb.ServerLimit, 0, len(limits))
	for _, limit := range limits {
		form := &nodepb.ServerLimit{}
		form.SetServer(limit.Server())
		if perSecond, limited := limit.Statement().PerSecond(); limited {
			form.SetLimited(true)
			form.SetPerSecond(perSecond)
		}
		form.SetAgeMillis(int64(limit.Age()))
		form.SetSent(limit.Sent())
		form.SetWants(limit.Borrows())
		form.SetLent(limit.Loan().Requests())
		form.SetBorrower(limit.Loan().Borrower())
		forms = append(forms, form)
	}
	message.SetServerLimits(forms)
}

func decodeServerLimits(message *nodepb.Bulletin) ([]node.ServerLimit, error) {
	var limits []node.ServerLimit
	for _, form := range message.GetServerLimits() {
		statement := backend.NewUnlimited()
		if form.GetLimited() {
			if perSecond := form.GetPerSecond(); math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
				return nil, errors.Errorf("decode bulletin: a server has the limit %v", perSecond)
			}
			statement = backend.NewStatement(form.GetPerSecond())
		}
		lent := form.GetLent()
		if math.IsNaN(lent) || math.IsInf(lent, 0) || lent < 0 {
			return nil, errors.Errorf("decode bulletin: a node lends %v requests", lent)
		}
		limit := node.NewServerLimit(form.GetServer(), statement, clock.Millis(form.GetAgeMillis()), form.GetSent()).
			WithLoan(node.NewLoanToHash(form.GetBorrower(), lent))
		if form.GetWants() {
			limit = limit.WithBorrowing()
		}
		limits = append(limits, limit)
	}
	return limits, nil
}

// Decode reads a bulletin from a datagram.
func Decode(data []byte) (node.Bulletin, error) {
	message := &nodepb.Bulletin{}
	if err := proto.Unmarshal(data, message); err != nil {
		return node.Bulletin{}, errors.Wrap(err, "decode bulletin")
	}
	if message.GetHost() == "" || message.GetIncarnation() <= 0 {
		return node.Bulletin{}, errors.New("decode bulletin: host or incarnation is missing")
	}
	if _, err := netip.ParseAddrPort(message.GetAddress()); err != nil {
		return node.Bulletin{}, errors.Wrap(err, "decode bulletin")
	}
	if !hasMatchingLists(message) {
		return node.Bulletin{}, errors.New("decode bulletin: lists that belong together differ in length")
	}
	evidence, err := evidencecodec.Decode(message.GetCrashEvidence())
	if err != nil {
		return node.Bulletin{}, err
	}
	limits, err := decodeServerLimits(message)
	if err != nil {
		return node.Bulletin{}, err
	}
	releases, err := decodeReleases(message.GetReleases())
	if err != nil {
		return node.Bulletin{}, err
	}
	speeds, err := decodeSpeeds(message.GetSpeeds())
	if err != nil {
		return node.Bulletin{}, err
	}
	sums, err := decodeAdmission(message.GetAdmission())
	if err != nil {
		return node.Bulletin{}, err
	}
	accounts, windows := decodeAccounts(message)
	pools := make([]node.Usage, 0, len(message.GetPools()))
	for _, form := range message.GetPools() {
		pools = append(pools, node.NewUsage(form.GetPool(), form.GetRequests(), form.GetTokens()))
	}
	bulletin := node.NewBulletin(message.GetHost(), message.GetAddress(), message.GetIncarnation(), message.GetSequence(),
		clock.Millis(message.GetWallMillis()), message.GetStopping()).
		WithConfiguration(message.GetConfiguration(), clock.Millis(message.GetConfigurationAgeMillis())).WithLeaving(message.GetLeaving()).WithUptime(clock.Millis(message.GetUptimeMillis())).WithReportedWindow(message.GetReportedWindow()).
		WithUsage(accounts, decodeServers(message), pools, windows).WithEvidence(evidence).WithServerLimits(limits).WithReleases(releases).WithSpeeds(speeds).WithAdmission(sums).
		WithListService(clock.Millis(message.GetListServiceMillis()))
	return decodeRollouts(bulletin, message.GetRollouts())
}

func hasMatchingLists(message *nodepb.Bulletin) bool {
	names, servers := len(message.GetAccounts()), len(message.GetServers())
	return len(message.GetUsed()) == names && len(message.GetAttempts()) == servers && len(message.GetWaitingTokens()) == servers &&
		!slices.ContainsFunc(message.GetWindows(), func(form *nodepb.WindowUse) bool { return len(form.GetRuns()) != names })
}

func decodeAccounts(message *nodepb.Bulletin) ([]node.Usage, []node.WindowRuns) {
	names := message.GetAccounts()
	accounts := make([]node.Usage, 0, len(names))
	for i, used := range message.GetUsed() {
		accounts = append(accounts, node.NewUsage(names[i], 0, used))
	}
	windows := make([]node.WindowRuns, 0, len(names)*len(message.GetWindows()))
	for _, form := range message.GetWindows() {
		for i, runs := range form.GetRuns() {
			if runs != 0 {
				windows = append(windows, node.NewWindowRuns(form.GetWindow(), names[i], runs))
			}
		}
	}
	return accounts, windows
}

func decodeServers(message *nodepb.Bulletin) []node.ServerWork {
	attempts, tokens := message.GetAttempts(), message.GetWaitingTokens()
	servers := make([]node.ServerWork, 0, len(attempts))
	for i, hash := range message.GetServers() {
		servers = append(servers, node.NewServerWork(hash, int(attempts[i]), int(tokens[i])))
	}
	return servers
}
