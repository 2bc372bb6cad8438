// Package vmprocess prepares the settings of processes of oleandervane-hosted on loopback addresses.
package vmprocess

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"oleandervane.example/standin/loopback"
)

// Settings are what the settings files of test processes differ in.
type Settings struct {
	ID           string
	StoreAddress string
	StopLimit    time.Duration
	// MemoryMegabytes is left to the program's default if it is 0.
	MemoryMegabytes int
}

// File is a written settings file with the addresses in it.
type File struct {
	Path                                           string
	Caller, Directory, Readiness, Peer, Operations netip.AddrPort
}

// Write writes a settings file with free addresses to a folder.
func (settings Settings) Write(folder string) (File, error) {
	file := File{Path: filepath.Join(folder, settings.ID+".toml")}
	for _, address := range []*netip.AddrPort{&file.Caller, &file.Directory, &file.Readiness, &file.Peer, &file.Operations} {
		var err error
		if *address, err = loopback.FreeAddress(); err != nil {
			return File{}, err
		}
	}
	text := fmt.Sprintf("id = %q\nregion = \"kigali\"\nfailure_domain = \"kigali-a\"\ncaller_address = %q\ndirectory_address = %q\n"+
		"readiness_address = %q\npeer_address = %q\noperations_address = %q\nstore_url = \"http://%s\"\nstop_limit = \"%v\"\n",
		settings.ID, file.Caller, file.Directory, file.Readiness, file.Peer, file.Operations, settings.StoreAddress, settings.StopLimit)
	if settings.MemoryMegabytes > 0 {
		text += fmt.Sprintf("memory_megabytes = %d\n", settings.MemoryMegabytes)
	}
	text += "[retries]\nratio = 0.2\nbase = 100\n[failure_domains]\nkigali-a = \"kigali\"\nkigali-b = \"kigali\"\n"
	return file, os.WriteFile(file.Path, []byte(text), 0o600)
}
