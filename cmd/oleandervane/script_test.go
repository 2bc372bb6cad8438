package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"oleandervane.example"
	"oleandervane.example/operator/status"
	"oleandervane.example/standin/storestandin"
	"oleandervane.example/timer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"oleandervane": main})
}

// platform has the store and the entry VM that the commands of a script send requests to.
type platform struct {
	store     *storestandin.Store
	saved     storestandin.Content
	mutex     sync.Mutex
	responses map[string]string
}

// Guards against unintended changes of the text, JSON or exit code of a command. The scripts are in testdata/*.txtar;
// "store" sets faults of the store, and "vm" sets the response of the entry VM at $VM for a path.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			platform := &platform{store: storestandin.New(timer.System{}), responses: map[string]string{}}
			store := httptest.NewServer(platform.store.Handler())
			vm := httptest.NewServer(platform)
			env.Defer(store.Close)
			env.Defer(vm.Close)
			env.Values["platform"] = platform
			env.Setenv("OLEANDERVANE_STORE", store.URL)
			env.Setenv("VM", strings.TrimPrefix(vm.URL, "http://"))
			return copyFolder("../../operator/folder/testdata/association", filepath.Join(env.WorkDir, "association"))
		},
		Cmds: map[string]func(script *testscript.TestScript, negated bool, arguments []string){
			"store": func(script *testscript.TestScript, _ bool, arguments []string) {
				script.Value("platform").(*platform).setStore(script, arguments[0])
			},
			"vm": func(script *testscript.TestScript, _ bool, arguments []string) {
				platform := script.Value("platform").(*platform)
				platform.mutex.Lock()
				defer platform.mutex.Unlock()
				platform.responses[arguments[0]] = script.ReadFile(arguments[1])
			},
		},
	})
}

func (platform *platform) setStore(script *testscript.TestScript, state string) {
	switch state {
	case "up":
		platform.store.SetFaults(storestandin.Faults{})
	case "down":
		platform.store.SetFaults(storestandin.Faults{Down: true})
	case "keep":
		platform.saved = platform.store.Content()
	case "roll_back":
		platform.store.RollBack(platform.saved)
	default:
		lostResponses, err := strconv.Atoi(strings.TrimPrefix(state, "lose_answers="))
		script.Check(err)
		platform.store.SetFaults(storestandin.Faults{LoseResponses: lostResponses})
	}
}

// ServeHTTP responds as an entry VM. Unless the script sets a response, the status has the revision of the store.
func (platform *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if body, found := platform.responses[request.URL.Path]; found {
		_, _ = writer.Write([]byte(body))
		return
	}
	if request.URL.Path != "/v1/status" {
		http.NotFound(writer, request)
		return
	}
	entry, _ := platform.store.Get(request.Context(), "config/head")
	var head struct {
		Revision oleandervane.Revision `json:"revision"`
	}
	_ = json.Unmarshal(entry.Value, &head)
	_ = json.NewEncoder(writer).Encode(status.Status{ID: "entry-1", Revision: head.Revision})
}

func copyFolder(from, to string) error {
	return os.CopyFS(to, os.DirFS(from))
}
