package peer_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
)

// Guards against a state of another daemon that would make this one refuse all callers or compute with values that
// no daemon can have.
func TestAdmissionStateIsChecked(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(s *peer.AdmissionState)
		valid  bool
	}{
		"as sent":             {change: func(*peer.AdmissionState) {}, valid: true},
		"empty":               {change: func(s *peer.AdmissionState) { *s = peer.AdmissionState{} }, valid: true},
		"negative age":        {change: func(s *peer.AdmissionState) { s.Age = -1 }},
		"no name":             {change: func(s *peer.AdmissionState) { s.Services[0].Service = "" }},
		"utilization is NaN":  {change: func(s *peer.AdmissionState) { s.Services[0].Smoothed = math.NaN() }},
		"share above 1":       {change: func(s *peer.AdmissionState) { s.Services[0].Classes[0].Share = 1.1 }},
		"share is NaN":        {change: func(s *peer.AdmissionState) { s.Services[0].Classes[0].Share = math.NaN() }},
		"priority over limit": {change: func(s *peer.AdmissionState) { s.Services[0].Classes[0].Priority = 256 }},
		"negative cost":       {change: func(s *peer.AdmissionState) { s.Services[0].Classes[0].Cost = -1 }},
		"too many classes": {change: func(s *peer.AdmissionState) {
			s.Services[0].Classes = make([]peer.ClassAdmission, peer.MaxClasses+1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := peer.AdmissionState{Age: time.Second, Services: []peer.ServiceAdmission{{
				Service: "cards", Slots: 72, Latest: 3, Smoothed: 2.5,
				Classes: []peer.ClassAdmission{{Priority: 1, Share: 0.25, Cost: 30 * time.Millisecond}},
			}}}
			tc.change(&s)
			if tc.valid {
				NewWithT(t).Expect(s.Check()).To(Succeed())
				return
			}
			NewWithT(t).Expect(s.Check()).To(MatchError(peer.ErrMessage))
		})
	}
}
