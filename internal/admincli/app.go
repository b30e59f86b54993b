// Package admincli implements the operators' command-line tool: its command tree, its client
// of the operators' API and the commands that generate files for a fleet.
//
// Every change has an operation id, which is printed with the answer. If an answer is lost,
// the tool resends the change with the same id until its timeout. Then it reports that the
// outcome is unknown and prints the id for a resend.
package admincli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const defaultTimeout = 30 * time.Second

// The names of the global flags.
const (
	flagAddress = "address"
	flagKey     = "key"
	flagKeyFile = "key-file"
	flagCA      = "ca"
	flagTimeout = "timeout"
	flagJSON    = "json"
	flagOpID    = "op-id"
)

const description = `Exit codes: 0 done; 1 refused, nothing was changed; 2 wrong usage, nothing was sent;
3 no host reached, or the outcome of a change is unknown.

Every change prints its operation id. The same command with --op-id ID returns its
outcome and never makes the change twice.`

// app is one invocation of the tool.
type app struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

// Run runs the tool and returns its exit code. args starts with the program's name.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	err := a.root().Run(ctx, args)
	if err != nil {
		fmt.Fprintf(stderr, "bluebellsail: %v\n", err)
	}
	return exitCode(err)
}

func (a *app) root() *cli.Command {
	root := &cli.Command{
		Name:                  "bluebellsail",
		Usage:                 "operate a bluebellsail fleet",
		Description:           description,
		EnableShellCompletion: true,
		Suggest:               true,
		Reader:                a.stdin,
		Writer:                a.stdout,
		ErrWriter:             a.stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags:                 globalFlags(),
		Commands: []*cli.Command{
			a.statusCommand(), a.hostCommand(), a.serverCommand(), a.budgetCommand(), a.accountCommand(),
			a.teamCommand(), a.configCommand(), a.controlCommand(), a.explainCommand(), a.quarantineCommand(),
			a.evacuateCommand(), a.loadCommand(),
			a.keysCommand(), a.tlsCommand(), a.devCommand(),
		},
	}
	_ = root.Walk(setUsageErrors)
	return root
}

// setUsageErrors makes every command report usage errors in the same way.
func setUsageErrors(c *cli.Command) error {
	c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usage("%v; see %s --help", err, cmd.FullName())
	}
	if c.Action == nil {
		c.Action = func(_ context.Context, cmd *cli.Command) error {
			if !cmd.Args().Present() {
				return usage("the command is missing; see %s --help", cmd.FullName())
			}
			return usage("there is no command %q; see %s --help", cmd.Args().First(), cmd.FullName())
		}
	}
	return nil
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagAddress, Aliases: []string{"a"}, Sources: cli.EnvVars("BLUEBELLSAIL_ADDRESS"),
			Usage: "`ADDRESS` of a host's operators' API, ip:port or https://ip:port; several are tried in turn"},
		&cli.StringFlag{Name: flagKey, Sources: cli.EnvVars("BLUEBELLSAIL_KEY"),
			Usage: "operator's `KEY`; other users of this machine may see it, so prefer --key-file"},
		&cli.StringFlag{Name: flagKeyFile, Sources: cli.EnvVars("BLUEBELLSAIL_KEY_FILE"), Usage: "`FILE` with the operator's key"},
		&cli.StringFlag{Name: flagCA, Sources: cli.EnvVars("BLUEBELLSAIL_CA"),
			Usage: "PEM `FILE` with the certificate authority of the hosts; addresses then default to https"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "`TIME` to wait for an answer, resends included"},
		&cli.BoolFlag{Name: flagJSON, Usage: "print the answer as JSON"},
		&cli.StringFlag{Name: flagOpID, Usage: "operation `ID` of an earlier change, to resend it"},
	}
}

// client returns a client configured by the global flags.
func (a *app) client(cmd *cli.Command) (*client, error) {
	key, err := operatorKey(cmd)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	scheme := "http://"
	if file := cmd.String(flagCA); file != "" {
		pool, err := readCertPool(file)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		scheme = "https://"
	}
	addresses, err := baseURLs(cmd.StringSlice(flagAddress), scheme)
	if err != nil {
		return nil, err
	}
	if cmd.Duration(flagTimeout) <= 0 {
		return nil, usage("--%s must be above 0", flagTimeout)
	}
	return &client{
		addresses:      addresses,
		key:            key,
		http:           newHTTPClient(transport),
		timeout:        cmd.Duration(flagTimeout),
		attemptTimeout: defaultAttemptTimeout,
		progress:       &progress{out: a.stderr},
	}, nil
}

func operatorKey(cmd *cli.Command) (string, error) {
	if key := cmd.String(flagKey); key != "" {
		return key, nil
	}
	file := cmd.String(flagKeyFile)
	if file == "" {
		return "", usage("give an operator's key with --%s, or BLUEBELLSAIL_KEY_FILE", flagKeyFile)
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", usage("read the key: %v", err)
	}
	key := strings.TrimSpace(string(b))
	if key == "" {
		return "", usage("the key file %s is empty", file)
	}
	return key, nil
}

func readCertPool(file string) (*x509.CertPool, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, usage("read the certificate authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, usage("%s contains no PEM certificate", file)
	}
	return pool, nil
}

func baseURLs(addresses []string, scheme string) ([]string, error) {
	if len(addresses) == 0 {
		return nil, usage("give the address of a host's operators' API with --%s, or BLUEBELLSAIL_ADDRESS", flagAddress)
	}
	urls := make([]string, len(addresses))
	for i, address := range addresses {
		if rest, ok := strings.CutPrefix(address, "https://"); ok {
			scheme, address = "https://", rest
		}
		if rest, ok := strings.CutPrefix(address, "http://"); ok {
			scheme, address = "http://", rest
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usage("address %q is not ip:port with an IP number", address)
		}
		urls[i] = scheme + address
	}
	return urls, nil
}

// read sends a GET request and prints the answer.
func (a *app) read(ctx context.Context, cmd *cli.Command, path string, out any, text func(w io.Writer)) error {
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	if err := cl.do(ctx, call{method: http.MethodGet, path: path}, out); err != nil {
		return err
	}
	return a.print(cmd, out, text)
}

// change sends a change with its operation id and prints the answer.
func (a *app) change(ctx context.Context, cmd *cli.Command, c call, out any, text func(w io.Writer)) error {
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	c.opID = operationID(cmd)
	if err := cl.do(ctx, c, out); err != nil {
		return err
	}
	return a.print(cmd, out, text)
}

// operationID returns the id from the command line, or a new one.
func operationID(cmd *cli.Command) string {
	if id := cmd.String(flagOpID); id != "" {
		return id
	}
	return "op-" + strings.ToLower(rand.Text())
}

// print writes out as JSON, or calls text to write it as text.
func (a *app) print(cmd *cli.Command, out any, text func(w io.Writer)) error {
	if cmd.Bool(flagJSON) {
		b, err := json.MarshalIndent(out, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode the answer")
		}
		_, err = fmt.Fprintln(a.stdout, string(b))
		return err
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// printOperation prints the operation id of a change.
func printOperation(w io.Writer, opID string, resend bool) {
	if resend {
		fmt.Fprintf(w, "op_id %s (done by an earlier request)\n", opID)
		return
	}
	fmt.Fprintf(w, "op_id %s\n", opID)
}

// arguments returns the command's arguments, one for each of names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, usage("want %s; see %s --help", strings.Join(names, " "), cmd.FullName())
	}
	return cmd.Args().Slice(), nil
}

// encode returns v as a request body.
func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	return b, errors.Wrap(err, "encode the request")
}
