// Command cedarmast is one router: clients on one side, cache servers on the other. It is told all by the
// configuration file that $GW_CONFIG names.
package main

import (
	"context"
	"log/slog"
	"os"

	"cedarmast/internal/daemon"
)

func main() {
	level := slog.LevelInfo
	if text := os.Getenv("CEDARMAST_LOG"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			slog.Error("CEDARMAST_LOG", "err", err)
			os.Exit(2)
		}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	config, err := daemon.LoadConfig(os.Getenv)
	if err != nil {
		log.Error("not started", "err", err)
		os.Exit(2)
	}
	if err := daemon.Run(context.Background(), config, log); err != nil {
		log.Error("not started", "err", err)
		os.Exit(1)
	}
}
