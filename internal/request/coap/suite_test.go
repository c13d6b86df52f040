package coap_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCoAP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coap")
}
