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

	"github.com/harrierreel/harrierreel/examples"
	"github.com/harrierreel/harrierreel/internal/cli"

	// The program must be linked against the system's C library.
	"github.com/harrierreel/harrierreel/internal/controller"
	_ "github.com/harrierreel/harrierreel/internal/libc"
	"github.com/harrierreel/harrierreel/internal/settings"
)

const version = "0.1.0"

func main() {
	code, text := cli.Code(root().Execute())
	if text != "" {
		fmt.Fprintln(os.Stderr, "harrierreel:", text)
	}
	os.Exit(code)
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "harrierreel", Short: "A cluster scheduler", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(serve(), cli.Try(logger(slog.LevelError), examples.KisiiPayouts))
	cmd.AddCommand(cli.Commands()...)
	cmd.AddCommand(&cobra.Command{
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
			log := logger(slog.LevelInfo)
			if file == "" {
				fmt.Fprintln(os.Stderr, "harrierreel: settings: --config: is missing; expected the platform's settings file")
				return &cli.Exit{Code: cli.ExitUsage}
			}
			set, err := settings.Load(file, operator)
			if err != nil {
				for _, line := range strings.Split(err.Error(), "\n") {
					fmt.Fprintln(os.Stderr, "harrierreel: settings:", line)
				}
				return &cli.Exit{Code: cli.ExitUsage}
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			// Asked once, it gives its place away first; asked again, it ends at once.
			context.AfterFunc(ctx, stop)
			log.Info("starting", "node", controller.Describe(set), "version", version)
			log.Info("fits", set.Cluster.StartupAttributes()...)
			for _, told := range set.Cluster.TimingWarnings() {
				log.Warn("times are tight", "what", told)
			}
			if err := controller.Serve(ctx, set, log); !errors.Is(err, context.Canceled) {
				return &cli.Exit{Code: cli.ExitFailed, Text: err.Error()}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "the platform's settings file (TOML)")
	cmd.Flags().
		StringVar(&operator, "operator", os.Getenv("HARRIERREEL_OPERATOR"), "the operators' own settings (HCL), optional, several files with commas between; also HARRIERREEL_OPERATOR")
	return cmd
}

// logger writes to standard error at the level that LOG_LEVEL names.
func logger(otherwise slog.Level) *slog.Logger {
	level := otherwise
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
