package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lemonarch/internal/batch/jobclient"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
)

// jobFlags are the flags that every subcommand of jobs needs.
type jobFlags struct {
	edges []string
	host  string
	limit clock.Duration
}

// jobsCommand returns the command that submits, follows, reads and cancels batch jobs.
func jobsCommand() *cobra.Command {
	flags := &jobFlags{}
	jobs := &cobra.Command{Use: "jobs", Aliases: []string{"lots"}, Short: "Submit, follow, read and cancel batch jobs"}
	jobs.PersistentFlags().StringSliceVar(&flags.edges, "edge", nil, "addresses of edge nodes, host:port (if several are given, the next one is used after a failure)")
	jobs.PersistentFlags().StringVar(&flags.host, "host", lab.Host, "host of the jobs' route")
	jobs.PersistentFlags().DurationVar(&flags.limit, "limit", time.Minute, "how long to try")
	jobs.AddCommand(submitCommand(flags), followCommand(flags), readCommand(flags), cancelCommand(flags))
	return jobs
}

// run calls a function with a client and a context that ends after the limit or on SIGINT or SIGTERM.
func (f *jobFlags) run(call func(ctx contexts.Context, client *jobclient.Client) error) error {
	if len(f.edges) == 0 {
		return exitError{exitUnusable, "--edge is missing"}
	}
	for _, edge := range f.edges {
		if _, _, err := net.SplitHostPort(edge); err != nil {
			return exitError{exitUnusable, "--edge: " + strconv.Quote(edge) + " is not host:port"}
		}
	}
	if f.limit <= 0 {
		return exitError{exitUnusable, "--limit must be above 0"}
	}
	limited, release := contexts.WithTimeout(contexts.Background(), f.limit)
	defer release()
	ctx, stop := signal.NotifyContext(limited, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := call(ctx, &jobclient.Client{Gateways: f.edges, Host: f.host})
	if err != nil {
		var exit exitError
		if errors.As(err, &exit) {
			return err
		}
		return exitError{exitInvalid, oneLine(err)}
	}
	return nil
}

func submitCommand(flags *jobFlags) *cobra.Command {
	id, path, sample, follow := "", "/batch/lot", 0, false
	command := &cobra.Command{Use: "submit [FILE]", Aliases: []string{"hand-in"}, Args: cobra.MaximumNArgs(1),
		Short: "Submit a job from a file ({\"requests\":[...]}, as in the protocol) or made of sample items",
		RunE: func(command *cobra.Command, arguments []string) error {
			if id == "" {
				id = newID()
			}
			job := sampleJob(id, sample)
			switch {
			case len(arguments) == 1 && sample > 0, len(arguments) == 0 && sample <= 0:
				return exitError{exitUnusable, "give either a FILE or --sample COUNT"}
			case len(arguments) == 1:
				text, err := os.ReadFile(arguments[0])
				if err != nil {
					return exitError{exitUnusable, err.Error()}
				}
				job = jobclient.Job{}
				if err = json.Unmarshal(text, &job); err != nil {
					return exitError{exitUnusable, arguments[0] + ": " + oneLine(err)}
				}
			}
			return flags.run(func(ctx contexts.Context, client *jobclient.Client) error {
				attempts, err := client.Submit(ctx, id, path, job)
				if err != nil {
					return err
				}
				fmt.Fprintf(command.ErrOrStderr(), "taken: lot=%s items=%d tries=%d\n", id, len(job.Requests), attempts)
				if follow {
					return followJob(command, ctx, client, id)
				}
				fmt.Fprintln(command.OutOrStdout(), id)
				return nil
			})
		}}
	command.Flags().StringVar(&id, "id", "", "id of the job (default: random)")
	command.Flags().StringVar(&path, "path", path, "path under the route's prefix")
	command.Flags().IntVar(&sample, "sample", 0, "number of sample items, made for the lab's default configuration")
	command.Flags().BoolVar(&follow, "follow", false, "follow the job to its end")
	return command
}

func followCommand(flags *jobFlags) *cobra.Command {
	return &cobra.Command{Use: "follow JOB", Args: cobra.ExactArgs(1), Short: "Follow a job to its end, with progress",
		RunE: func(command *cobra.Command, arguments []string) error {
			return flags.run(func(ctx contexts.Context, client *jobclient.Client) error {
				return followJob(command, ctx, client, arguments[0])
			})
		}}
}

func followJob(command *cobra.Command, ctx contexts.Context, client *jobclient.Client, id string) error {
	started, completed, abandoned := clock.Now(), 0, 0
	err := client.Follow(ctx, id, 0, func(page *jobclient.Page) error {
		for _, output := range page.Outputs {
			if output.Phase == jobclient.PhaseSettled {
				completed++
			} else {
				abandoned++
			}
		}
		if len(page.Outputs) > 0 || page.Total == 0 {
			fmt.Fprintf(command.OutOrStdout(), "lot=%s listed=%d/%d settled=%d abandoned=%d after=%s\n", id, page.Next, page.Total, completed, abandoned,
				clock.Now().Sub(started).Round(10*time.Millisecond))
		}
		return nil
	})
	if err == nil && abandoned > 0 {
		return exitError{exitInvalid, fmt.Sprintf("lot %s is finished, abandoned=%d", id, abandoned)}
	}
	return err
}

func readCommand(flags *jobFlags) *cobra.Command {
	from := 0
	command := &cobra.Command{Use: "read JOB", Args: cobra.ExactArgs(1), Short: "Print the outputs listed so far of a job as JSON, one per line",
		RunE: func(command *cobra.Command, arguments []string) error {
			if from < 0 {
				return exitError{exitUnusable, "--from must not be below 0"}
			}
			return flags.run(func(ctx contexts.Context, client *jobclient.Client) error {
				return printOutputs(ctx, client, arguments[0], from, command)
			})
		}}
	command.Flags().IntVar(&from, "from", 0, "position of the first output")
	return command
}

// printOutputs prints the listed outputs of a job from a position on, and then a summary. It repeats a
// read after a retryable error until the context ends.
func printOutputs(ctx contexts.Context, client *jobclient.Client, id string, from int, command *cobra.Command) error {
	writer := json.NewEncoder(command.OutOrStdout())
	for cursor := from; ; {
		page, err := client.Read(ctx, id, cursor, 0)
		if err != nil && jobclient.IsRetryable(err) && ctx.Err() == nil {
			clock.Sleep(clock.Milliseconds(200))
			continue
		}
		if err != nil {
			return err
		}
		for _, output := range page.Outputs {
			if err = writer.Encode(output); err != nil {
				return err
			}
		}
		cursor = page.Next
		if len(page.Outputs) == 0 {
			fmt.Fprintf(command.ErrOrStderr(), "listed=%d sum=%d\n", cursor, page.Total)
			return nil
		}
	}
}

func cancelCommand(flags *jobFlags) *cobra.Command {
	return &cobra.Command{Use: "cancel JOB", Aliases: []string{"end"}, Args: cobra.ExactArgs(1), Short: "Cancel a job: its remaining items are not run",
		RunE: func(command *cobra.Command, arguments []string) error {
			return flags.run(func(ctx contexts.Context, client *jobclient.Client) error {
				for {
					err := client.End(ctx, arguments[0])
					if err == nil {
						fmt.Fprintln(command.OutOrStdout(), "ended: lot="+arguments[0])
						return nil
					}
					if !jobclient.IsRetryable(err) || ctx.Err() != nil {
						return err
					}
					clock.Sleep(clock.Milliseconds(200))
				}
			})
		}}
}

func newID() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// sampleJob returns a job of count items that the lab's default configuration can run.
func sampleJob(id string, count int) jobclient.Job {
	job := jobclient.Job{}
	for number := 0; number < count; number++ {
		job.Requests = append(job.Requests, jobclient.Item{ID: id + "-" + strconv.Itoa(number), Path: "/batch/" + strconv.Itoa(number), Tokens: 640,
			Body: []byte("sample " + strconv.Itoa(number)), Headers: map[string]string{"Lemonarch-Model": lab.ModelName,
				"Lemonarch-Token-Count": "600,40", "Lemonarch-Prompt-Prefix": fmt.Sprintf("5a5a:400,%x:200", 0x10000+number)}})
	}
	return job
}
