package operator

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/explain"
)

// Explain prints what became of a request by the logs of the hosts: files named
// after their hosts, or a stream if there are none.
func (a *App) Explain(request string, files []string, stream io.Reader) error {
	logs, err := readLogs(files, stream)
	if err != nil {
		return err
	}
	return a.print(explanation(logs.Request(request)))
}

func readLogs(files []string, stream io.Reader) (*explain.Logs, error) {
	logs := &explain.Logs{}
	if len(files) == 0 {
		if err := logs.Read(stream, "-"); err != nil {
			return nil, errs.Wrap(err, errs.KindBadRequest, "standard input cannot be read", "give the logs as files")
		}
	}
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return nil, err
		}
	}
	return logs, nil
}

// Account prints why requests were not served, summed over the logs of the hosts.
func (a *App) Account(by explain.Grouping, files []string, stream io.Reader) error {
	logs, err := readLogs(files, stream)
	if err != nil {
		return err
	}
	account := logs.Account(by)
	return a.print(accountTable(by, account))
}

func accountTable(by explain.Grouping, account explain.Account) Table {
	t := Table{
		Columns: []string{"not_run", "lost", "share", "cause"},
		Summary: fmt.Sprintf("%d requests not served; hosts wrote no line about %d", account.Unserved, account.Missed),
	}
	if by != explain.ByCause {
		t.Columns = append(t.Columns, string(by))
	}
	for _, row := range account.Rows {
		share := float64(row.NotRun+row.Lost) / float64(account.Unserved)
		cells := []string{strconv.Itoa(row.NotRun), strconv.Itoa(row.Lost), strconv.FormatFloat(share, 'f', 3, 64), string(row.Cause)}
		if by != explain.ByCause {
			cells = append(cells, row.Group)
		}
		t.Rows = append(t.Rows, cells)
	}
	return t
}

// Unused prints which servers were out of use, and why, by the logs of the hosts: those of a
// service, all if empty, for least or longer. at is a time of day as logs have it, empty for any.
func (a *App) Unused(service string, least time.Duration, at string, files []string, stream io.Reader) error {
	logs, err := readLogs(files, stream)
	if err != nil {
		return err
	}
	moment, err := logs.TimeOfDay(at)
	if err != nil {
		return err
	}
	return a.print(unusedTable(logs.Unused(service, least, moment)))
}

func unusedTable(unused explain.Unused) Table {
	t := Table{
		Columns: []string{"from", "for", "service", "backend", "hosts", "why"},
		Summary: fmt.Sprintf("%d times that a server was out of use; hosts left out %d lines", len(unused.Spans), unused.Missed),
	}
	for _, span := range unused.Spans {
		t.Rows = append(t.Rows, []string{
			span.From.Format(timeOfDay),
			span.Length(),
			span.Service,
			span.Server,
			fmt.Sprintf("%d of %d", span.Hosts, span.Sharing),
			span.Why(),
		})
	}
	return t
}

// timeOfDay is how moments of a log are printed.
const timeOfDay = "15:04:05.000"

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
