package lending

import "testing"

func TestLoanRecordsAreCheckedWhenRead(t *testing.T) {
	good := `{"l":[{"i":1,"s":"lent","b":"wk-1","n":0,"h":"i-1","f":[{"j":"wk-2","g":1}],"g":1,"at":5,"t":6}]}`
	if record, err := Decode([]byte(good)); err != nil || record.Loans[0].State != Lent {
		t.Error(record, err)
	}
	for name, bad := range map[string]string{
		"not a record":   `7`,
		"unknown state":  `{"l":[{"i":1,"s":"odd"}]}`,
		"no lender":      `{"l":[{"i":1,"s":"lent","b":"wk-1","h":"i-1","g":1}]}`,
		"unstored state": `{"l":[{"i":1,"s":"wanted"}]}`,
	} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%s: decoded without an error: %s", name, bad)
		}
	}
	for _, key := range []string{"loan/", "loan/x", "loan/-1", "loan/01", "loan/99999", "job/1"} {
		if _, ok := RecordNumber(key); ok {
			t.Errorf("%s is accepted as the key of a loan record", key)
		}
	}
	if number, ok := RecordNumber(RecordKey(3)); !ok || number != 3 {
		t.Error(number, ok)
	}
}
