package status_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	cfg, reporter := GinkgoConfiguration()
	cfg.RandomSeed = 1
	RunSpecs(t, "status", cfg, reporter)
}
