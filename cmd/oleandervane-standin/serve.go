package main

import (
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// serve runs the server until SIGTERM or SIGINT.
func serve(name string, server *khttp.Server) error {
	app := kratos.New(
		kratos.Name("oleandervane-standin-"+name),
		kratos.Server(server),
		kratos.Logger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError))),
	)
	return app.Run()
}
