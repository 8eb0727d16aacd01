package heathswitch.proxy.subsetting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.subsetting.SubsetSelector;
import heathswitch.policy.subsetting.SubsetSizing;
import heathswitch.proxy.config.ConfigDocument;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading the table [subset] of the configuration file. */
class SubsetTableTest {
  @TempDir Path folder;

  private ConfigDocument read(String text) throws Exception {
    return ConfigDocument.read(Files.writeString(folder.resolve("c.toml"), text));
  }

  private List<String> faults(String text) throws Exception {
    ConfigDocument document = read(text);
    SubsetTable.read(document.root());
    return document.errors().stream()
        .map(fault -> fault.toString().replaceAll("^.*c.toml:", ""))
        .toList();
  }

  @Test
  void anEmptyTableHasTheDefaultValues() throws Exception {
    ConfigDocument document = read("[peers]\n[subset]\n");
    SubsetTable table = SubsetTable.read(document.root());
    assertEquals(List.of(), document.errors());
    assertEquals(SubsetSizing.DEFAULT, table.sizing());
    assertEquals(SubsetSelector.Pace.DEFAULT, table.pace());
    assertNull(SubsetTable.read(read("").root()));
  }

  @Test
  void faultsAreReportedWithTheirPosition() throws Exception {
    assertEquals(
        List.of(
            "1:1: subset: without table [peers] no other balancer is known; that table expected"),
        faults("[subset]\n"));
    assertEquals(
        List.of(
            "3:1: subset.domains: is greater than width; at most as many cells as servers expected"),
        faults("[peers]\n[subset]\ndomains = 9\nwidth = 8\n"));
    assertEquals(
        List.of("3:1: subset.most_moved: is 0; a number from 0.01 to 1.0 expected"),
        faults("[peers]\n[subset]\nmost_moved = 0\n"));
    assertTrue(faults("[peers]\n[subset]\nwith = 8\n").get(0).contains("width"));
  }
}
