package peer

import "github.com/fescueshed/fescueshed/internal/version/bundle"

// MemberList is the answer to MethodMembers: the members that a daemon knows, packed, or nothing if
// the requester knows the same. Gossip alone takes seconds longer to inform the daemons of a fleet
// that starts as a whole of each other.
type MemberList struct {
	_      struct{} `cbor:",toarray"`
	Packed Packed[[]Member]
}

// NewMemberList returns the list of the given members.
func NewMemberList(members []Member) (*MemberList, error) {
	p, err := Pack(members)
	return &MemberList{Packed: p}, err
}

// Check returns nil: the members are checked by Members.
func (l *MemberList) Check() error { return nil }

// Members unpacks the list. It returns the error of the first invalid member.
func (l *MemberList) Members() ([]Member, error) {
	if len(l.Packed) == 0 {
		return nil, nil
	}
	list, err := l.Packed.Unpack()
	if err != nil {
		return nil, err
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// MethodMembers requests the MemberList, sealed by its Codec.
const MethodMembers = "Members.Get"

// MembersParams are the parameters of MethodMembers. The names of its fields are keys on the wire.
type MembersParams struct {
	// Zone is the requester's zone, Digest its Membership.Digest, which is compared within a zone.
	Zone   bundle.Zone
	Digest uint64
}
