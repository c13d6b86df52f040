package registry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	cfg, reporter := GinkgoConfiguration()
	cfg.RandomSeed = 1
	RunSpecs(t, "registry", cfg, reporter)
}
