package geneve_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGeneve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "geneve")
}
