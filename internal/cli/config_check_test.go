package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a check whose exit code does not tell a configuration with errors from one
// without, and against differences that are not shown. The checks themselves have tests of
// their own.
func TestConfigCheck(t *testing.T) {
	g := NewWithT(t)
	const inForce = "testdata/gateway-config.json"
	valid, err := os.ReadFile(inForce)
	g.Expect(err).NotTo(HaveOccurred())
	check := func(config string, args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := Run(append([]string{"config", "check", "-"}, args...), strings.NewReader(config), &out, &errOut)
		return out.String() + errOut.String(), code
	}
	out, code := check(string(valid))
	g.Expect(code).To(Equal(ExitOK))
	g.Expect(out).To(BeEmpty())

	newer := strings.Replace(string(valid), `"version":7`, `"version":8`, 1)
	newer = strings.Replace(newer, `"burst":20`, `"burst":10`, 1)
	out, code = check(newer, "--against", inForce)
	g.Expect(code).To(Equal(ExitOK))
	g.Expect(out).To(ContainSubstring("burst: 20 becomes 10: the limit is lowered"))

	broken := strings.Replace(string(valid), `"version":7`, `"version":0`, 1)
	out, code = check(broken, "--json")
	g.Expect(code).To(Equal(ExitUsage))
	var report configReport
	g.Expect(json.NewDecoder(strings.NewReader(out)).Decode(&report)).To(Succeed())
	g.Expect(report.Findings).To(HaveLen(1))
	g.Expect(report.Findings[0].Path).To(Equal("version"))

	_, code = check("{")
	g.Expect(code).To(Equal(ExitUsage))
}
