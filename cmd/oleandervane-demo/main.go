// Program oleandervane-demo starts both users' deployments at small size as plain processes on loopback
// addresses, sends look-ups and requests of each kind, drains one VM, kills another and drains a backend server
// while requests run, and prints what became of them. Its status is 1 when a promise was broken.
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
	Folders    string        `long:"folders" default:"examples" description:"folder that has one folder of TOML files for each deployment"`
	Output     string        `long:"output" default:"out/demo" description:"folder for settings and logs"`
	Deployment string        `long:"deployment" choice:"association" choice:"jubilar" choice:"both" default:"both" description:"deployment to start"`
	Keep       time.Duration `long:"keep" description:"only start the deployment and keep it for this time, to try the commands on it"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals"`
}

func main() {
	var options options
	parser := flags.NewParser(&options, flags.Default)
	parser.ShortDescription = "Starts both deployments on loopback and checks the promises while VMs drain and die."
	program.Parse(parser)
	broken, err := run(options)
	if err == nil && broken > 0 {
		err = eris.Errorf("promises were broken %d times", broken)
	}
	program.Exit("oleandervane-demo", err)
}

// run plays the scenario on the chosen deployments, one after the other, and returns the number of broken promises.
func run(options options) (broken int, err error) {
	for _, deployment := range deployments() {
		if options.Deployment != "both" && options.Deployment != deployment.name {
			continue
		}
		count, err := play(options, deployment)
		if err != nil {
			return broken, eris.Wrapf(err, "playing %s", deployment.name)
		}
		broken += count
	}
	return broken, nil
}

func play(options options, deployment deployment) (broken int, err error) {
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
