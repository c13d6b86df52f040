package ip_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ip")
}
