package admincli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/tlsutil"
)

// keyFileMode allows only the file's owner to read a key.
const keyFileMode = 0o600

// newKey is the output of keys new and keys hash.
type newKey struct {
	Key  string `json:"key,omitempty"`
	File string `json:"file,omitempty"`
	Hash string `json:"hash"`
}

func (a *app) keysCommand() *cli.Command {
	return &cli.Command{Name: "keys", Usage: "operators' keys", Commands: []*cli.Command{
		{Name: "new", Usage: "generate a key and its hash", Action: a.keysNew, Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "new `FILE` to write the key to; default: print the key"}}},
		{Name: "hash", Usage: "print the hash of the key on standard input", Action: a.keysHash},
	}}
}

func (a *app) keysNew(_ context.Context, cmd *cli.Command) error {
	key := adminapi.NewKey()
	out := newKey{Key: key, Hash: settings.HashKey(key)}
	if file := cmd.String("out"); file != "" {
		if err := writeNewFile(file, key+"\n"); err != nil {
			return usage("write the key: %v", err)
		}
		out.Key, out.File = "", file
	}
	return a.print(cmd, out, func(w io.Writer) {
		fmt.Fprintf(w, "key\t%s\nhash\t%s\n", out.Key+out.File, out.Hash)
	})
}

// writeNewFile never replaces a file, since the key in it may be in use.
func writeNewFile(file, content string) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(content); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func (a *app) keysHash(_ context.Context, cmd *cli.Command) error {
	b, err := io.ReadAll(a.stdin)
	key := strings.TrimSpace(string(b))
	if err != nil || key == "" {
		return usage("no key on standard input")
	}
	out := newKey{Hash: settings.HashKey(key)}
	return a.print(cmd, out, func(w io.Writer) { fmt.Fprintln(w, out.Hash) })
}

func (a *app) tlsCommand() *cli.Command {
	return &cli.Command{Name: "tls", Usage: "certificates of a fleet", Commands: []*cli.Command{
		{Name: "init", Usage: "create or reuse a certificate authority, and create a certificate for each host", Action: a.tlsInit, Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for the files", Required: true},
			&cli.StringSliceFlag{Name: "hosts", Usage: "`NAME=IP` of each host, separated by commas", Required: true},
			&cli.DurationFlag{Name: "valid", Value: tlsutil.DefaultHostValidity, Usage: "`TIME` that host certificates are valid"},
			&cli.BoolFlag{Name: "renew", Usage: "replace existing host certificates"}}},
	}}
}

func (a *app) tlsInit(_ context.Context, cmd *cli.Command) error {
	hosts := make([]tlsutil.Host, 0, len(cmd.StringSlice("hosts")))
	for _, spec := range cmd.StringSlice("hosts") {
		host, err := tlsutil.ParseHost(spec)
		if err != nil {
			return usage("%v", err)
		}
		hosts = append(hosts, host)
	}
	files, err := tlsutil.Init(tlsutil.InitOptions{
		Dir: cmd.String("dir"), Hosts: hosts, Validity: cmd.Duration("valid"), Renew: cmd.Bool("renew")})
	if err != nil {
		return usage("%v", err)
	}
	return a.print(cmd, files, func(w io.Writer) {
		fmt.Fprintf(w, "authority\t%s\n", files.CA)
		for _, h := range files.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\n", h.Host, h.Cert, h.Key)
		}
	})
}

func (a *app) devCommand() *cli.Command {
	return &cli.Command{Name: "dev", Usage: "a fleet on this machine, for experiments", Commands: []*cli.Command{
		{Name: "init", Usage: "write the settings files of a fleet on free loopback ports", Action: a.devInit, Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "new or empty `DIRECTORY` for the files", Required: true},
			&cli.IntFlag{Name: "hosts", Value: 5, Usage: "`NUMBER` of hosts"},
			&cli.IntFlag{Name: "controls", Value: 3, Usage: "`NUMBER` of hosts with a replica of the control group"},
			&cli.StringSliceFlag{Name: "zones", Value: []string{"a", "b", "c"}, Usage: "`ZONES`, separated by commas"},
			&cli.BoolFlag{Name: "tls", Usage: "give every listener a certificate"}}},
	}}
}

func (a *app) devInit(_ context.Context, cmd *cli.Command) error {
	layout, err := devfleet.Init(devfleet.Options{
		Dir: cmd.String("dir"), Hosts: int(cmd.Int("hosts")), Controls: int(cmd.Int("controls")), Zones: cmd.StringSlice("zones"), TLS: cmd.Bool("tls")})
	if err != nil {
		return usage("%v", err)
	}
	return a.print(cmd, layout, func(w io.Writer) {
		fmt.Fprintf(w, "operator's key\t%s\nenvironment\t%s\n", layout.KeyFile, layout.EnvFile)
		fmt.Fprintln(w, "HOST\tZONE\tCONTROL\tCALLERS\tOPERATORS\tPEERS\tSETTINGS")
		for _, h := range layout.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%s\t%s\n", h.Host, h.Zone, h.Control, h.Callers, h.Operators, h.Peers, h.Settings)
		}
	})
}
