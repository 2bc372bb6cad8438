package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"oleandervane.example/operator/check"
	"oleandervane.example/operator/folder"
	"oleandervane.example/operator/revision"
	"oleandervane.example/platform/store"
	"oleandervane.example/timer"
)

// publish reads the deployment's folder and publishes it to the store.
func (scenario *scenario) publish() error {
	result, err := folder.Read(filepath.Join(scenario.options.Folders, scenario.deployment.name), check.Conditions{Now: time.Now()})
	if err != nil {
		return err
	}
	if result.HasErrors() {
		return errors.New("the folder is refused: " + fmt.Sprint(result.Findings))
	}
	client := store.NewClient(scenario.deployment.storeURL(), timer.System{})
	files := make([]revision.File, 0, len(result.Files))
	for _, file := range result.Files {
		files = append(files, revision.File{Name: file.Name, Digest: file.Digest})
	}
	return eventually("publishing", func() error {
		_, err := revision.NewPublisher(client, timer.System{}).Publish(context.Background(), revision.Proposal{
			Configuration: result.Configuration,
			Files:         files,
			Author:        "demo",
			Attempt:       fmt.Sprint(time.Now().UnixNano()),
		})
		return eris.Wrap(err, "publish the folder")
	})
}
