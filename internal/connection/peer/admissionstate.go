package peer

import "time"

// MethodAdmission requests the AdmissionState, sealed by its Codec. Members without admission control, and
// earlier versions, don't know it.
const MethodAdmission = "Admission.Get"

// AdmissionState is the answer to MethodAdmission: what a daemon knows of the loads of all reachable zones.
// It is empty if the daemon knows nothing recent.
type AdmissionState struct {
	_ struct{} `cbor:",toarray"`
	// Phase is as in ClassReport, Age the time since the last sum.
	Phase    uint16
	Age      time.Duration
	Services []ServiceAdmission
}

// ServiceAdmission holds the slots of a service and its utilization in the last window and over the windows.
type ServiceAdmission struct {
	_                struct{} `cbor:",toarray"`
	Service          string
	Slots            uint32
	Latest, Smoothed float64
	Classes          []ClassAdmission
}

// ClassAdmission holds the share of a class that is admitted, the cost of its requests, the requests answered in
// the last window, and whether it gives way to more urgent classes.
type ClassAdmission struct {
	_        struct{} `cbor:",toarray"`
	Priority uint32
	Share    float64
	Cost     time.Duration
	Answered uint32
	Yields   bool
}

// Check returns ErrMessage if a value is invalid or a bound is exceeded.
func (s *AdmissionState) Check() error {
	if s.Age < 0 || len(s.Services) > MaxClasses {
		return ErrMessage
	}
	classes := 0
	for i := range s.Services {
		classes += len(s.Services[i].Classes)
		if classes > MaxClasses || !s.Services[i].valid() {
			return ErrMessage
		}
	}
	return nil
}

func (s *ServiceAdmission) valid() bool {
	// The comparisons are false for NaN.
	if s.Service == "" || !(s.Latest >= 0) || !(s.Smoothed >= 0) {
		return false
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Priority > MaxClassPriority || !(c.Share >= 0 && c.Share <= 1) || c.Cost < 0 {
			return false
		}
	}
	return true
}
