package peer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/standin/links"
)

func TestMemberListHoldsAllMembers(t *testing.T) {
	g := NewWithT(t)
	w := links.New(300, 1)
	meet(w)
	members := w.Members[0].MembersFor(w.Members[0].Host.Zone)
	list, err := peer.NewMemberList(members)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := list.Members()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(members))
}

func TestMemberListWithInvalidMemberIsRefused(t *testing.T) {
	g := NewWithT(t)
	list, err := peer.NewMemberList([]peer.Member{{Name: "without an identifier"}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = list.Members()
	g.Expect(err).To(MatchError(peer.ErrMessage))
}
