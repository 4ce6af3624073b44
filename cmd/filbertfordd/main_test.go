package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestExitCodeAndOutput(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"defaults":             {args: []string{"-check"}, code: exitOK, want: "valid"},
		"help":                 {args: []string{"-h"}, code: exitOK, want: "Example"},
		"unknown flag":         {args: []string{"-x"}, code: exitUsage, want: "not defined"},
		"unknown setting":      {args: []string{"-check", "-set", "daemon.x=1"}, code: exitUsage, want: "no such setting"},
		"no such file":         {args: []string{"-check", "-config", "nowhere.ini"}, code: exitUsage, want: "nowhere.ini"},
		"short horizon":        {args: []string{"-check", "-set", "ownership.epoch=1s", "-set", "ownership.horizon=5"}, code: exitUsage, want: "horizon"},
		"short opaque horizon": {args: []string{"-check", "-set", "ownership.opaque-horizon=1"}, code: exitUsage, want: "opaque-horizon"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			if code := realMain(tt.args, &out); code != tt.code {
				t.Errorf("got exit code %d, want %d", code, tt.code)
			}
			if !strings.Contains(out.String(), tt.want) {
				t.Errorf("output does not contain %q:\n%s", tt.want, out.String())
			}
		})
	}
}
