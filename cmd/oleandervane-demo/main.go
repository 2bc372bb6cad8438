// Program oleandervane-demo starts small versions of both users' deployments as plain processes on loopback addresses and
// sends look-ups and requests of each kind. While requests run, it drains one VM, kills another and drains a backend server.
// It prints the outcomes of the requests. Its exit status is 1 when a guarantee was violated.
package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"oleandervane.example/cmd/internal/program"
)

type options struct {
	Programs   string        `long:"programs" default:"bin" description:"folder of the built programs"`
	Folders    string        `long:"folders" default:"examples" description:"folder that contains a folder of TOML files for each deployment"`
	Output     string        `long:"output" default:"out/demo" description:"folder for settings and logs"`
	Deployment string        `long:"deployment" choice:"association" choice:"jubilar" choice:"both" default:"both" description:"deployment to start"`
	Keep       time.Duration `long:"keep" description:"only start the deployment and leave it running for this time, to try the commands on it"`
	Seed       uint64        `long:"seed" default:"1" description:"random seed of the arrival times"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Starts both deployments on loopback addresses and checks the guarantees while VMs drain and are killed."
	program.Parse(parser)
	violations, err := run(options)
	if err == nil && violations > 0 {
		err = eris.Errorf("guarantees were violated %d times", violations)
	}
	program.Exit("oleandervane-demo", err)
}

// run runs the scenario on the selected deployments, one after the other, and returns the number of violations of
// guarantees.
func run(options options) (violations int, err error) {
	for _, deployment := range deployments() {
		if options.Deployment != "both" && options.Deployment != deployment.name {
			continue
		}
		count, err := runDeployment(options, deployment)
		if err != nil {
			return violations, eris.Wrapf(err, "run deployment %s", deployment.name)
		}
		violations += count
	}
	return violations, nil
}

func runDeployment(options options, deployment deployment) (violations int, err error) {
	folder := filepath.Join(options.Output, deployment.name)
	if err := os.RemoveAll(folder); err != nil {
		return 0, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return 0, err
	}
	launcher := newLauncher(options.Programs, folder)
	defer launcher.endAll()
	scenario := &scenario{options: options, deployment: deployment, folder: folder, launcher: launcher}
	return scenario.run()
}
