// Command harrierreel is a cluster scheduler: users' interface, workers, cloud
// and state service, and what runs where.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	// The program must be linked against the system's C library.
	_ "github.com/harrierreel/harrierreel/internal/libc"
	"github.com/harrierreel/harrierreel/internal/node"
	"github.com/harrierreel/harrierreel/internal/settings"
)

const version = "0.1.0"

// errSettings marks faults in the settings: exit 2.
var errSettings = errors.New("bad settings")

func main() {
	err := root().Execute()
	switch {
	case err == nil:
	case errors.Is(err, errSettings):
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "harrierreel:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "harrierreel", Short: "A cluster scheduler", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(serve(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "harrierreel", version) },
	})
	return cmd
}

func serve() *cobra.Command {
	var file, operator string
	cmd := &cobra.Command{
		Use: "serve", Short: "Run one controller", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))}))
			set, err := settings.Load(file, operator)
			if err != nil {
				for _, line := range strings.Split(err.Error(), "\n") {
					fmt.Fprintln(os.Stderr, "harrierreel: settings:", line)
				}
				return errSettings
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			log.Info("starting", "node", node.Describe(set), "version", version)
			if err := node.Serve(ctx, set, log); !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "the platform's settings file (TOML)")
	cmd.Flags().StringVar(&operator, "operator", os.Getenv("HARRIERREEL_OPERATOR"), "the operators' own settings (HCL), optional; also HARRIERREEL_OPERATOR")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

// level reads LOG_LEVEL; anything else is info.
func level(s string) slog.Level {
	switch s {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}
