package cookiedaemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// Periods at which the members that another daemon knows are fetched, see synchronizeMembers.
const (
	// joinSyncPeriod is the mean period while the daemons of a zone that starts discover each other.
	// With each period a daemon knows the members of about twice as many others.
	joinSyncPeriod = 500 * time.Millisecond
	// syncPeriod is the mean period afterwards. It bounds how long a member stays unknown here
	// although all gossip about it was lost.
	syncPeriod = 30 * time.Second
	// agreementsToSettle is how many daemons in a row must know the same members for a start to count
	// as over.
	agreementsToSettle = 2
	// manyUpdates is the number of waiting updates above which gossip falls behind, and lists are
	// exchanged as often as during a start.
	manyUpdates = 8 * peer.MaxUpdates
)

// synchronizeMembers exchanges the list of members with random other daemons until ctx ends: often
// until several in a row know the same ones, seldom afterwards.
func (m *members) synchronizeMembers(ctx context.Context) {
	agreements := 0
	for ctx.Err() == nil {
		period := syncPeriod
		if m.gossipFallsBehind() || agreements < agreementsToSettle && time.Since(m.daemon.started) < JoinDuration {
			period = joinSyncPeriod
		}
		sleep(ctx, period/2+rand.N(period))
		to := m.anyMember()
		if ctx.Err() != nil || !to.IsValid() {
			continue
		}
		switch same, err := m.fetchMembers(to); {
		case err != nil:
			klog.V(1).InfoS("Members not fetched", "From", to, "Error", err)
		case same:
			agreements++
		default:
			agreements = 0
		}
	}
}

// gossipFallsBehind reports whether more updates wait than gossip sends in a second.
func (m *members) gossipFallsBehind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membership.UpdatesWaiting() > manyUpdates
}

// fetchMembers fetches and merges the members that another daemon knows. It reports whether this
// daemon knows the same ones.
func (m *members) fetchMembers(from netip.AddrPort) (same bool, err error) {
	m.mu.Lock()
	params := peer.MembersParams{Zone: m.membership.Self().Zone, Digest: m.membership.Digest()}
	m.mu.Unlock()
	sealed, _, err := peer.CallRPC[[]byte](
		m.ctx, from, peer.RPC{Method: peer.MethodMembers, Params: params},
		transfer.Limits{FirstByteTimeout: pullTimeout, StallTimeout: pullTimeout}, &m.pulls,
	)
	if err != nil {
		return false, err
	}
	list, err := m.memberLists.Decode(sealed)
	if err != nil {
		return false, err
	}
	got, err := list.Members()
	if err != nil || len(got) == 0 {
		return err == nil, err
	}
	m.update(func(g *peer.Membership) []peer.Envelope {
		g.Merge(time.Now(), got)
		return nil
	})
	return false, nil
}

// answerMembers answers another daemon's request for the members that this one knows.
func (m *members) answerMembers(r *jsonrpc2.Request) (any, error) {
	var params peer.MembersParams
	if r.Params != nil {
		if err := json.Unmarshal(*r.Params, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	out := &peer.MemberList{}
	m.mu.Lock()
	var known []peer.Member
	if m.membership.Digest() != params.Digest {
		known = m.membership.MembersFor(params.Zone)
	}
	m.mu.Unlock()
	if known != nil {
		var err error
		if out, err = peer.NewMemberList(known); err != nil {
			return nil, err
		}
	}
	sealed, err := m.memberLists.Encode(out)
	return sealed, eris.Wrap(err, "members: encode")
}
