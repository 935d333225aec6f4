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

// Explain prints what happened to a request according to the logs of the hosts. The logs are files named
// after their hosts or, if there are none, a stream of lines from all hosts.
func (a *App) Explain(request string, files []string, stream io.Reader) error {
	logs, err := readLogs(files, stream)
	if err != nil {
		return err
	}
	return a.print(reportTable(logs.Request(request)))
}

func readLogs(files []string, stream io.Reader) (*explain.Logs, error) {
	logs := &explain.Logs{}
	if len(files) == 0 {
		if err := logs.Read(stream, "-"); err != nil {
			return nil, errs.Wrap(err, errs.KindBadRequest, "cannot read standard input", "pass the logs as files")
		}
	}
	for _, name := range files {
		if err := readLog(logs, name); err != nil {
			return nil, err
		}
	}
	return logs, nil
}

// Account prints how many requests were not served, by cause, according to the logs of the hosts.
func (a *App) Account(by explain.Grouping, files []string, stream io.Reader) error {
	logs, err := readLogs(files, stream)
	if err != nil {
		return err
	}
	if by == explain.ByBytes {
		return a.print(bytesTable(logs.Bytes()))
	}
	if by == explain.ByLimit {
		return a.print(limitTable(logs.Limits()))
	}
	account := logs.Account(by)
	return a.print(accountTable(by, account))
}

func bytesTable(rows []explain.BytesRow) Table {
	t := Table{Columns: []string{"bytes", "share", "hosts", "kind"}}
	var total uint64
	for _, row := range rows {
		total += row.Bytes
	}
	for _, row := range rows {
		share := float64(row.Bytes) / float64(total)
		t.Rows = append(t.Rows, []string{strconv.FormatUint(row.Bytes, 10), strconv.FormatFloat(share, 'f', 3, 64), strconv.Itoa(row.Hosts), row.Kind})
	}
	t.Summary = fmt.Sprintf("%d bytes between data centres", total)
	return t
}

func limitTable(limits []explain.LimitRow) Table {
	t := Table{
		Columns: []string{"over_limit", "fair_share", "other", "seconds", "limit", "customer"},
		Summary: fmt.Sprintf("%d customers with refused requests", len(limits)),
	}
	for _, row := range limits {
		limit := "none"
		if row.PerSecond > 0 {
			limit = strconv.FormatFloat(row.PerSecond, 'g', -1, 64)
		}
		t.Rows = append(t.Rows, []string{strconv.Itoa(row.OverLimit), strconv.Itoa(row.FairShare), strconv.Itoa(row.Other), strconv.Itoa(row.Seconds), limit, row.Customer})
	}
	return t
}

func accountTable(by explain.Grouping, account explain.Account) Table {
	t := Table{
		Columns: []string{"not_run", "lost", "share", "cause"},
		Summary: fmt.Sprintf("%d requests not served; hosts did not log %d", account.Unserved, account.Unlogged),
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

// Unused prints which backend servers were out of use for least or longer, and why, according to the logs
// of the hosts. An empty service selects all services. at selects the periods that contain this time of
// day, in the form that the logs have; an empty at selects all.
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
		Summary: fmt.Sprintf("%d periods with a server out of use; hosts omitted %d lines", len(unused.Spans), unused.MissedLines),
	}
	for _, span := range unused.Spans {
		t.Rows = append(t.Rows, []string{
			span.From.Format(timeOfDayFormat),
			span.Duration(),
			span.Service,
			span.Server,
			fmt.Sprintf("%d of %d", span.Hosts, span.TotalHosts),
			span.Reasons(),
		})
	}
	return t
}

// timeOfDayFormat is the format of the times of log lines in the output.
const timeOfDayFormat = "15:04:05.000"

// reportTable converts a report to the table that the tool prints.
func reportTable(r explain.Report) Table {
	t := Table{Columns: []string{"part", "what"}, Summary: "cause: " + r.Cause}
	for _, step := range r.Steps {
		t.Rows = append(t.Rows, []string{"request", step})
	}
	for _, other := range r.Context {
		t.Rows = append(t.Rows, []string{"around", other})
	}
	return t
}

func readLog(logs *explain.Logs, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "cannot open the log", "check the path")
	}
	defer file.Close()
	host := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	if err := logs.Read(file, host); err != nil {
		return errs.Wrap(err, errs.KindBadRequest, "log "+name+" cannot be read", "check that it was written by pearshelfd")
	}
	return nil
}
