package operator

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/explain"
)

// Explain prints what became of a request by the logs of the hosts: files named
// after their hosts, or a stream if there are none.
func (a *App) Explain(request string, files []string, stream io.Reader) error {
	logs := &explain.Logs{}
	if len(files) == 0 {
		if err := logs.Read(stream, "-"); err != nil {
			return errs.Wrap(err, errs.KindBadRequest, "standard input cannot be read", "give the logs as files")
		}
	}
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return err
		}
	}
	return a.print(explanation(logs.Request(request)))
}

// explanation is a report as the tool prints it.
func explanation(r explain.Report) Table {
	t := Table{Columns: []string{"part", "what"}, Summary: "cause: " + r.Cause}
	for _, step := range r.Steps {
		t.Rows = append(t.Rows, []string{"request", step})
	}
	for _, other := range r.Around {
		t.Rows = append(t.Rows, []string{"around", other})
	}
	return t
}

func readLog(logs *explain.Logs, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "log cannot be opened", "check the path")
	}
	defer file.Close()
	host := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	if err := logs.Read(file, host); err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "log "+name+" cannot be read", "check that it is a log of pearshelfd")
	}
	return nil
}
